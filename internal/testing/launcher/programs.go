// Package launcher runs the programs of the system as child processes of tests.
// It builds the programs, starts, suspends and stops processes, and polls for
// conditions.
package launcher

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binVariable is the environment variable with the directory of prebuilt
// programs. If it is empty, Build compiles them.
const binVariable = "GENTIANSTEP_BIN"

// Programs holds the paths of the executables.
type Programs struct {
	Gentianstep string
	Standin     string
}

// Build returns the paths of the executables. It uses those in the directory that
// GENTIANSTEP_BIN names, or else compiles them into a temporary directory of
// the test.
func Build(t testing.TB) Programs {
	t.Helper()
	dir := os.Getenv(binVariable)
	if dir == "" {
		dir = t.TempDir()
		compile(t, dir)
	}
	return Programs{
		Gentianstep: filepath.Join(dir, "gentianstep"),
		Standin:     filepath.Join(dir, "standin"),
	}
}

func compile(t testing.TB, dir string) {
	t.Helper()
	const module = "gentianstep.example/gentianstep/cmd/"
	for _, name := range []string{"gentianstep", "standin"} {
		command := exec.CommandContext(t.Context(), "go", "build", "-o", filepath.Join(dir, name), module+name)
		if output, err := command.CombinedOutput(); err != nil {
			t.Fatalf("build %s: %v\n%s", name, err, output)
		}
	}
}
