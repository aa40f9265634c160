package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/standin/soaker"
	"gentianstep.example/gentianstep/platform/platformtest"
)

// commandFile holds the command that repeats a failed soak, in its folder.
const commandFile = "command.txt"

func newSoakCommand() command {
	cfg := soaker.Config{Gateways: 3, CallersPerGateway: 4, Length: 20 * time.Second, Crashes: true, Limits: true, Breaks: true, Floods: true}
	dir, engines, services, seeds, keep := os.TempDir(), 3, 2, 1, false
	cfg.Seed = uint64(time.Now().UnixNano()) % 1e9 //nolint:gosec // The time is positive.
	parser := flaggy.NewSubcommand("soak")
	parser.Description = "Run gateways as processes under seeded faults and check their promises."
	parser.String(&cfg.Program, "p", "program", "Path of gentianstep; by default next to this program.")
	parser.UInt64(&cfg.Seed, "s", "seed", "Seed of the first plan; by default a fresh one.")
	parser.Int(&seeds, "n", "seeds", "Number of soaks, with consecutive seeds.")
	parser.Duration(&cfg.Length, "t", "duration", "Time in which faults begin and end.")
	parser.Int(&cfg.Gateways, "g", "gateways", "Number of gateway processes.")
	parser.Int(&cfg.CallersPerGateway, "c", "callers", "Number of callers for each gateway.")
	parser.Int(&engines, "e", "engines", "Number of engines.")
	parser.Int(&services, "w", "services", "Number of plain services.")
	parser.Bool(&cfg.Crashes, "x", "crashes", "Send calls on which engines crash.")
	parser.Bool(&cfg.Limits, "l", "limits", "Make upstreams state limits.")
	parser.Bool(&cfg.Breaks, "b", "breaks", "Make engines break streams and answer the next attempts wrongly.")
	parser.Bool(&cfg.Floods, "f", "floods", "Make an organisation exceed its quota.")
	parser.Bool(&cfg.Calm, "q", "calm", "Leave out all other steps.")
	parser.String(&dir, "d", "dir", "Folder for the folders of failed soaks.")
	parser.Bool(&keep, "k", "keep", "Keep the folders of soaks that pass, too.")
	return command{parser: parser, run: func(ctx context.Context) error {
		if cfg.Program == "" {
			own, err := os.Executable()
			if err != nil {
				return fmt.Errorf("find program: %w", err)
			}
			cfg.Program = filepath.Join(filepath.Dir(own), "gentianstep")
		}
		failed := 0
		for range seeds {
			cfg.Dir = filepath.Join(dir, fmt.Sprintf("soak-%d", cfg.Seed))
			cfg.Site = platformtest.NewSite(engines, services)
			text := fmt.Sprintf("%s soak --program %s --seed %d --duration %s --gateways %d --callers %d --engines %d --services %d --crashes=%t --limits=%t --breaks=%t --floods=%t --calm=%t --dir %s\n",
				os.Args[0], cfg.Program, cfg.Seed, cfg.Length, cfg.Gateways, cfg.CallersPerGateway, engines, services, cfg.Crashes, cfg.Limits, cfg.Breaks, cfg.Floods, cfg.Calm, dir)
			passes, err := soakOnce(ctx, cfg, text, keep)
			if err != nil {
				return err
			}
			if !passes {
				failed++
			}
			cfg.Seed++
		}
		if failed > 0 {
			return fmt.Errorf("soak: %d of %d seeds failed", failed, seeds)
		}
		return nil
	}}
}

// soakOnce runs a soak and prints its verdict. The folder of a failed one is kept.
func soakOnce(ctx context.Context, cfg soaker.Config, text string, keep bool) (passes bool, err error) {
	if err := os.MkdirAll(cfg.Dir, 0o750); err != nil {
		return false, fmt.Errorf("create folder of soak: %w", err)
	}
	if err := os.WriteFile(filepath.Join(cfg.Dir, commandFile), []byte(text), 0o600); err != nil {
		return false, fmt.Errorf("write command of soak: %w", err)
	}
	verdict, err := soaker.Soak(ctx, cfg)
	if err != nil {
		return false, fmt.Errorf("soak in %s: %w", cfg.Dir, err)
	}
	verdict.Print(os.Stdout)
	if verdict.Passes() && !keep {
		return true, os.RemoveAll(cfg.Dir)
	}
	fmt.Printf("  kept in %s; again: %s\n", cfg.Dir, strings.TrimSpace(text))
	return verdict.Passes(), nil
}
