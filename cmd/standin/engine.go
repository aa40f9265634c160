package main

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/standin/archiver"
	"gentianstep.example/gentianstep/internal/standin/disrupter"
	"gentianstep.example/gentianstep/internal/standin/generator"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

func newEngineCommand() command {
	address := "127.0.0.1:0"
	models := "tile-match=w1"
	var store string
	cfg := generator.Config{
		Name:            "engine",
		Slots:           8,
		CacheBlocks:     4096,
		PrefillPerBlock: 2 * time.Millisecond,
		TokenInterval:   10 * time.Millisecond,
		LoadTime:        500 * time.Millisecond,
		ChecksFencing:   true,
	}
	parser := flaggy.NewSubcommand("engine")
	parser.Description = "Serve a model engine with a bounded prefix cache."
	parser.String(&address, "a", "address", "IP number and port to listen on.")
	parser.String(&cfg.Name, "n", "name", "Name of the engine.")
	parser.String(&models, "m", "models", "Loaded models, as name=weights_version with commas between.")
	parser.Int(&cfg.Slots, "", "slots", "Requests that run side by side.")
	parser.Int(&cfg.CacheBlocks, "", "cache-blocks", "Blocks that the cache holds.")
	parser.Duration(&cfg.PrefillPerBlock, "", "prefill-per-block", "Time to compute a missing block.")
	parser.Duration(&cfg.TokenInterval, "", "token-interval", "Time between two tokens.")
	parser.String(&store, "", "kept-cache", "IP number and port of the store of kept cache; empty for none.")
	parser.Bool(&cfg.ChecksFencing, "", "checks-fencing", "Refuse orders with an old fencing number.")
	return command{parser: parser, run: func(ctx context.Context) error {
		loaded, err := parseModels(models)
		if err != nil {
			return err
		}
		cfg.Models = loaded
		if store != "" {
			storeAddress, err := netip.ParseAddrPort(store)
			if err != nil {
				return fmt.Errorf("parse --kept-cache: %w", err)
			}
			cfg.CacheStore = archiver.NewClient(archiver.ClientConfig{Address: storeAddress})
		}
		cfg.Incarnation = uint64(time.Now().UnixNano())
		return serve(ctx, address, disrupter.New(generator.Handler(generator.New(cfg))))
	}}
}

// parseModels parses a comma-separated list of name=weights_version.
func parseModels(text string) ([]observer.LoadedModel, error) {
	var loaded []observer.LoadedModel
	for part := range strings.SplitSeq(text, ",") {
		name, version, ok := strings.Cut(part, "=")
		if !ok {
			return nil, fmt.Errorf("--models: got %q, want name=weights_version", part)
		}
		loaded = append(loaded, observer.LoadedModel{Name: name, WeightsVersion: version})
	}
	return loaded, nil
}
