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

// recoveryLoad is the load pattern whose results are plotted second by second.
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
		results, err := simulate(dir, seeds)
		if err != nil {
			return err
		}
		page, err := os.Create(filepath.Join(out, "REHEARSAL.md"))
		if err != nil {
			return fmt.Errorf("create page: %w", err)
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

// simulate runs each load pattern in dir under each policy with each seed.
func simulate(dir string, seeds int) ([]rehearser.Result, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("list load patterns: %w", err)
	}
	var results []rehearser.Result
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("read load pattern: %w", err)
		}
		l, err := rehearser.Decode(data)
		if err != nil {
			return nil, err
		}
		for _, policy := range rehearser.Policies() {
			for seed := range seeds {
				r, err := rehearser.Simulate(l, policy, uint64(seed+1)) //nolint:gosec // The number of seeds is small.
				if err != nil {
					return nil, err
				}
				results = append(results, r)
			}
		}
	}
	return results, nil
}
