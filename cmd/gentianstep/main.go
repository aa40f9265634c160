// Command gentianstep routes language-model traffic.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/integrii/flaggy"
)

// Exit codes shared by all subcommands.
const (
	exitSuccess  = 0
	exitFailure  = 1
	exitUsage    = 2
	exitConflict = 3
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:]))
}

func run(ctx context.Context, args []string) int {
	parser := flaggy.NewParser("gentianstep")
	parser.Description = "Routes language-model traffic with long shared prompts."
	parser.DisableShowVersionWithVersion() // the parser's built-in version flag also intercepts the version subcommand
	parser.ShowCompletion = false
	commands := newCommands()
	for _, c := range commands {
		parser.AttachSubcommand(c.parser, 1)
	}
	if slices.Equal(args, []string{"--version"}) {
		args = []string{"version"}
	}
	if err := parser.ParseArgs(args); err != nil {
		parser.ShowHelpWithMessage(err.Error())
		return exitUsage
	}
	c := selectedCommand(commands)
	if c == nil {
		parser.ShowHelpWithMessage("want a subcommand")
		return exitUsage
	}
	if err := c.run(ctx); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "gentianstep:", err)
		return exitCode(err)
	}
	return exitSuccess
}

func newCommands() []command {
	return []command{
		newBundleCommand(),
		newKeysCommand(),
		newCheckCommand(),
		newStatusCommand(),
		newExplainCommand(),
		newRouterCommand(),
		newControllerCommand(),
		newGatewayCommand(),
		newVersionCommand(),
	}
}
