package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// programs is the directory of the programs under test.
var programs string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// binVariable names the directory of ready programs; without it they are built.
const binVariable = "GENTIANSTEP_BIN"

func buildAndRun(m *testing.M) int {
	if programs = os.Getenv(binVariable); programs != "" {
		return m.Run()
	}
	directory, err := os.MkdirTemp("", "gentianstep")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	for _, name := range []string{"gentianstep", "standin"} {
		build := exec.CommandContext(context.Background(), "go", "build", "-o", filepath.Join(directory, name), "../"+name)
		if output, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", name, err, output)
			return 1
		}
	}
	programs = directory
	return m.Run()
}
