// Package launcher runs the real programs of the system for tests: it builds
// them, starts, stops, freezes and kills processes and waits for conditions.
package launcher

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binVariable names the directory of ready programs; without it they are built.
const binVariable = "GENTIANSTEP_BIN"

// Programs are the paths of the built programs.
type Programs struct {
	Gentianstep string
	Standin     string
}

// Build returns the programs, built into a directory of the test where the
// environment names none.
func Build(t testing.TB) Programs {
	t.Helper()
	dir := os.Getenv(binVariable)
	if dir == "" {
		dir = t.TempDir()
		build(t, dir)
	}
	return Programs{
		Gentianstep: filepath.Join(dir, "gentianstep"),
		Standin:     filepath.Join(dir, "standin"),
	}
}

func build(t testing.TB, dir string) {
	t.Helper()
	const module = "gentianstep.example/gentianstep/cmd/"
	for _, name := range []string{"gentianstep", "standin"} {
		command := exec.CommandContext(t.Context(), "go", "build", "-o", filepath.Join(dir, name), module+name)
		if output, err := command.CombinedOutput(); err != nil {
			t.Fatalf("build %s: %v\n%s", name, err, output)
		}
	}
}
