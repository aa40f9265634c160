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

// command is one subcommand with what it does. A command with children only
// groups them.
type command struct {
	parser   *flaggy.Subcommand
	run      func(ctx context.Context) error
	children []command
}

// newGroup returns a command that holds others.
func newGroup(name, description string, children ...command) command {
	parser := flaggy.NewSubcommand(name)
	parser.Description = description
	for _, child := range children {
		parser.AttachSubcommand(child.parser, 1)
	}
	return command{parser: parser, children: children}
}

// used returns the innermost command that the arguments name, nil for none.
func used(commands []command) *command {
	for i := range commands {
		c := &commands[i]
		if !c.parser.Used {
			continue
		}
		if len(c.children) > 0 {
			return used(c.children)
		}
		return c
	}
	return nil
}

// require reports a flag that the command line lacks.
func require(flag, value, takes string) error {
	if value == "" {
		return classifier.New(classifier.InvalidRequest, "--%s: got none, takes %s", flag, takes)
	}
	return nil
}

// printJSON writes the indented JSON form of v to standard output.
func printJSON(v any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

// printLine writes one line to standard output.
func printLine(format string, args ...any) error {
	if _, err := fmt.Fprintf(os.Stdout, format+"\n", args...); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

// readInput reads the file at path, or standard input where path is "-".
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

// fileMode keeps written files to their owner; some of them hold a private key.
const fileMode = 0o600

// writeNew writes data to a file that must not exist yet.
func writeNew(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return fmt.Errorf("write file: %w", err)
	}
	if _, err := file.Write(data); err != nil {
		_ = file.Close()
		return fmt.Errorf("write file: %w", err)
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("write file: %w", err)
	}
	return nil
}
