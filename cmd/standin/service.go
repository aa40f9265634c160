package main

import (
	"context"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/standin/disrupter"
	"gentianstep.example/gentianstep/internal/standin/recorder"
)

func newServiceCommand() command {
	address := "127.0.0.1:0"
	name := "service"
	parser := flaggy.NewSubcommand("service")
	parser.Description = "Serve a plain service that keeps a ledger of its calls."
	parser.String(&address, "a", "address", "IP number and port to listen on.")
	parser.String(&name, "n", "name", "Name of the service.")
	return command{parser: parser, run: func(ctx context.Context) error {
		return serve(ctx, address, disrupter.New(recorder.New(name)))
	}}
}
