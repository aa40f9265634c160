// Command gentianstep routes language-model traffic.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// Exit codes of every subcommand.
const (
	exitDone     = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
)

// command is one subcommand with what it does.
type command struct {
	parser *flaggy.Subcommand
	run    func(ctx context.Context) error
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx))
}

func run(ctx context.Context) int {
	flaggy.SetName("gentianstep")
	flaggy.SetDescription("Routes language-model traffic with long shared prompts.")
	commands := []command{
		newRouterCommand(),
		newControllerCommand(),
		newKeysCommand(),
		newSignCommand(),
		newPublishCommand(),
	}
	for _, c := range commands {
		flaggy.AttachSubcommand(c.parser, 1)
	}
	flaggy.Parse()
	for _, c := range commands {
		if !c.parser.Used {
			continue
		}
		if err := c.run(ctx); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, "gentianstep:", err)
			return exitCode(err)
		}
		return exitDone
	}
	flaggy.ShowHelp("")
	return exitUsage
}
