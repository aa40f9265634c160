// Package scripts_test tests the shell scripts in this directory and the test
// names in docs/PROOFS.md.
package scripts_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// judgement is a row of testdata/known_red.json: the output and status of a run
// of go test, the list of known failures, and the expected result of known-red.sh.
type judgement struct {
	Name   string   `json:"name"`
	Output []string `json:"output"`
	Status int      `json:"status"`
	List   []string `json:"list"`
	Exit   int      `json:"exit"`
	Prints string   `json:"prints"`
}

func TestKnownRed(t *testing.T) {
	t.Parallel()
	var rows []judgement
	scripter.Read(t, "testdata/known_red.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			output, list := write(t, "output", row.Output), write(t, "list", row.List)
			c := exec.CommandContext(t.Context(), "./known-red.sh", output, strconv.Itoa(row.Status), list)
			text, _ := c.CombinedOutput()
			is.Equal(c.ProcessState.ExitCode(), row.Exit)
			is.True(strings.Contains(string(text), row.Prints))
		})
	}
}

func write(t *testing.T, name string, lines []string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	text := strings.Join(lines, "\n")
	if text != "" {
		text += "\n"
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
