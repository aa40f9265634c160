package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// command pairs the parser of a subcommand with the function that runs it. A
// command with children is a group and has no run function.
type command struct {
	parser   *flaggy.Subcommand
	run      func(ctx context.Context) error
	children []command
}

// newGroupCommand returns a command whose children are its subcommands.
func newGroupCommand(name, description string, children ...command) command {
	parser := flaggy.NewSubcommand(name)
	parser.Description = description
	for _, child := range children {
		parser.AttachSubcommand(child.parser, 1)
	}
	return command{parser: parser, children: children}
}

// selectedCommand returns the innermost command selected by the parsed
// arguments, or nil if the arguments select none.
func selectedCommand(commands []command) *command {
	for i := range commands {
		c := &commands[i]
		if !c.parser.Used {
			continue
		}
		if len(c.children) > 0 {
			return selectedCommand(c.children)
		}
		return c
	}
	return nil
}

// requireFlag returns an error if the value of a mandatory flag is empty. want
// describes the expected value.
func requireFlag(flag, value, want string) error {
	if value == "" {
		return classifier.New(classifier.InvalidRequest, "--%s: got none, want %s", flag, want)
	}
	return nil
}

// printJSON writes v to standard output as indented JSON.
func printJSON(v any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

// printLine formats a line and writes it to standard output.
func printLine(format string, args ...any) error {
	if _, err := fmt.Fprintf(os.Stdout, format+"\n", args...); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

// readInput reads the file at path, or standard input if path is "-".
func readInput(path string) ([]byte, error) {
	if path == "-" {
		data, err := io.ReadAll(os.Stdin)
		if err != nil {
			return nil, fmt.Errorf("read standard input: %w", err)
		}
		return data, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read file: %w", err)
	}
	return data, nil
}

// fileMode makes created files accessible only to their owner because some of
// them contain a private key.
const fileMode = 0o600

// writeNewFile creates a file with data. It returns an error if the file already
// exists.
func writeNewFile(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return fmt.Errorf("create file: %w", err)
	}
	if _, err := file.Write(data); err != nil {
		_ = file.Close()
		return fmt.Errorf("write file: %w", err)
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("close file: %w", err)
	}
	return nil
}
