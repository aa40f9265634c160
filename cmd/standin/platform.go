package main

import (
	"context"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/standin/keeper"
)

func newPlatformCommand() command {
	address := "127.0.0.1:0"
	parser := flaggy.NewSubcommand("platform")
	parser.Description = "Serve the key-value service and the VM list."
	parser.String(&address, "a", "address", "IP number and port to listen on.")
	return command{parser: parser, run: func(ctx context.Context) error {
		return serve(ctx, address, keeper.Handler(keeper.New()))
	}}
}
