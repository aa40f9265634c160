// Command standin runs test doubles of the systems that gentianstep depends on,
// and the load tests and benchmarks that use them.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// command pairs the parser of a subcommand with the function that runs it.
type command struct {
	parser *flaggy.Subcommand
	run    func(ctx context.Context) error
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	flaggy.SetName("standin")
	flaggy.SetDescription("Stands in for the platform, engines, plain services and the store of kept cache in tests.")
	commands := []command{
		newPlatformCommand(),
		newEngineCommand(),
		newServiceCommand(),
		newKeptCommand(),
		newBenchCommand(),
		newPlanCommand(),
		newFleetCommand(),
		newLoadCommand(),
		newReportCommand(),
		newRehearseCommand(),
		newAskCommand(),
		newSoakCommand(),
	}
	for _, c := range commands {
		flaggy.AttachSubcommand(c.parser, 1)
	}
	flaggy.Parse()
	for _, c := range commands {
		if c.parser.Used {
			return c.run(ctx)
		}
	}
	flaggy.ShowHelpAndExit("")
	return nil
}
