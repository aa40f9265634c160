package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/standin/loader"
	"gentianstep.example/gentianstep/internal/standin/reporter"
)

// steadyCase names the results of loads without faults or additional requests.
const steadyCase = "steady"

func newReportCommand() command {
	in, dir, title := "results.jsonl", "docs/measurements", ""
	parser := flaggy.NewSubcommand("report")
	parser.Description = "Write results as a table and plots."
	parser.String(&in, "i", "in", "File of results, one JSON object a line.")
	parser.String(&dir, "d", "dir", "Folder to write to.")
	parser.String(&title, "t", "title", "Command that gave the results, for the page.")
	return command{parser: parser, run: func(context.Context) error {
		file, err := os.Open(in)
		if err != nil {
			return fmt.Errorf("open results: %w", err)
		}
		defer func() { _ = file.Close() }()
		results, err := reporter.Read(file)
		if err != nil {
			return err
		}
		if err := writePage(filepath.Join(dir, "README.md"), title, results); err != nil {
			return err
		}
		steady := slices.DeleteFunc(slices.Clone(results), func(r loader.Result) bool { return r.Case != steadyCase })
		if err := reporter.HitRates(filepath.Join(dir, "hit_rate.png"), steady); err != nil {
			return err
		}
		return reporter.FirstTokens(filepath.Join(dir, "first_token.png"), steady)
	}}
}

func writePage(path, title string, results []loader.Result) error {
	page, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create page: %w", err)
	}
	defer func() { _ = page.Close() }()
	_, _ = fmt.Fprintf(page, "# Measurements\n\nWritten by `%s`, seed %d.\n", title, results[0].Seed)
	_, _ = fmt.Fprint(page, measurementNotes)
	if err := reporter.Table(page, results); err != nil {
		return err
	}
	if err := reporter.Shares(page, results); err != nil {
		return err
	}
	_, _ = fmt.Fprint(page, "\n![Prefix hit rate](hit_rate.png)\n\n![First token](first_token.png)\n")
	return nil
}

// measurementNotes is the introduction of the measurements page.
const measurementNotes = `
Real routers and controllers on loopback, 9 VMs in 3 regions, in front of engine
stand-ins with a bounded cache of blocks (least recently used first out), one
prefill at a time and slots. Arrivals are open loop. Load is a share of the
committed capacity. The bound is one cache as large as all together that serves
the same arrivals in order. Computed counts blocks of 256 bytes, recomputed
those that another live engine held. Crossed is the volume between regions.
Refused answers are true refusals before anything ran.

`
