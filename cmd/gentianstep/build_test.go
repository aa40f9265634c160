package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binDir is the directory that holds the binaries under test.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// binDirVariable is the environment variable with a directory of prebuilt
// binaries. The tests build the binaries if it is unset.
const binDirVariable = "GENTIANSTEP_BIN"

func buildAndRun(m *testing.M) int {
	if binDir = os.Getenv(binDirVariable); binDir != "" {
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
	binDir = directory
	return m.Run()
}
