package main

import (
	"context"
	"time"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/standin/archiver"
	"gentianstep.example/gentianstep/internal/standin/disrupter"
)

func newKeptCommand() command {
	address := "127.0.0.1:0"
	cfg := archiver.Config{Blocks: 1 << 16, ImportPerBlock: 200 * time.Microsecond}
	parser := flaggy.NewSubcommand("kept-cache")
	parser.Description = "Serve the store of kept cache of a region."
	parser.String(&address, "a", "address", "IP number and port to listen on.")
	parser.Int(&cfg.Blocks, "", "blocks", "Blocks that the store holds.")
	parser.Duration(&cfg.ImportPerBlock, "", "import-per-block", "Time to send one block.")
	return command{parser: parser, run: func(ctx context.Context) error {
		store, err := archiver.New(cfg)
		if err != nil {
			return err
		}
		return serve(ctx, address, disrupter.New(archiver.Handler(store)))
	}}
}
