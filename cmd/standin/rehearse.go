package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/standin/rehearser"
	"gentianstep.example/gentianstep/internal/standin/reporter"
)

// recoveryLoad is the load whose seconds are plotted one by one.
const recoveryLoad = "crash"

func newRehearseCommand() command {
	dir, out := "deploy/loads", "docs/measurements"
	seeds := 5
	parser := flaggy.NewSubcommand("rehearse")
	parser.Description = "Play load patterns against a model of engines and hold the policies against a bound."
	parser.String(&dir, "l", "loads", "Folder of load patterns.")
	parser.String(&out, "d", "dir", "Folder to write the table and the plot to.")
	parser.Int(&seeds, "s", "seeds", "Number of seeds for each load, from 1.")
	return command{parser: parser, run: func(context.Context) error {
		results, err := rehearse(dir, seeds)
		if err != nil {
			return err
		}
		page, err := os.Create(filepath.Join(out, "REHEARSAL.md"))
		if err != nil {
			return fmt.Errorf("page: %w", err)
		}
		defer func() { _ = page.Close() }()
		if err := reporter.Rehearsals(page, fmt.Sprintf("standin rehearse --seeds %d", seeds), results); err != nil {
			return err
		}
		if err := reporter.ReachedShares(filepath.Join(out, "rehearsal.png"), results); err != nil {
			return err
		}
		return reporter.Recovery(filepath.Join(out, "recovery.png"), recoveryLoad, results)
	}}
}

// rehearse plays each load of a folder under each policy.
func rehearse(dir string, seeds int) ([]rehearser.Result, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("loads: %w", err)
	}
	var results []rehearser.Result
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("load: %w", err)
		}
		l, err := rehearser.Decode(data)
		if err != nil {
			return nil, err
		}
		for _, policy := range rehearser.Policies() {
			for seed := range seeds {
				r, err := rehearser.Play(l, policy, uint64(seed+1)) //nolint:gosec // A number of seeds is small.
				if err != nil {
					return nil, err
				}
				results = append(results, r)
			}
		}
	}
	return results, nil
}
