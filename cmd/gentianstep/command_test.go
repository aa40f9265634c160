package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/standin/keeper"
)

// scenario is a sequence of command lines that run in one directory.
type scenario struct {
	Name string `json:"name"`
	// Files maps paths to contents that are written before the first step.
	Files map[string]string `json:"files"`
	Steps []step            `json:"steps"`
}

// step is one run of the program with its expected exit code and output. A step
// without arguments only prepares the next run.
type step struct {
	Args      []string `json:"args"`
	Stdin     string   `json:"stdin"`
	StoreDown bool     `json:"store_down"`
	// LoseResponse makes the store apply its next write and drop the response.
	LoseResponse bool     `json:"lose_answer"`
	Exit         int      `json:"exit"`
	Stdout       []string `json:"stdout"`
	Stderr       []string `json:"stderr"`
	// Replace edits a file before the run. It holds the path, the old text and
	// the new text.
	Replace []string `json:"replace"`
}

func TestCommands(t *testing.T) {
	t.Parallel()
	files, err := filepath.Glob("testdata/commands/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("find scenario files: %v", err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var scenarios []scenario
		if err := json.Unmarshal(data, &scenarios); err != nil {
			t.Fatalf("decode scenarios in %s: %v", file, err)
		}
		for _, s := range scenarios {
			t.Run(s.Name, func(t *testing.T) {
				t.Parallel()
				newCommandFixture(t, s.Files).runSteps(s.Steps)
			})
		}
	}
}

// commandFixture is a working directory with settings and two signing keys, and
// a store that no other test uses.
type commandFixture struct {
	t         *testing.T
	directory string
	store     *httptest.Server
	// dropResponse makes the store drop the response to its next write.
	dropResponse atomic.Bool
}

func newCommandFixture(t *testing.T, files map[string]string) *commandFixture {
	t.Helper()
	f := &commandFixture{t: t, directory: t.TempDir()}
	f.store = httptest.NewServer(f.dropWriteResponse(keeper.Handler(keeper.New())))
	t.Cleanup(f.store.Close)
	ids := []string{"ops-1", "ops-2"}
	keys := make([]string, 0, len(ids))
	for _, id := range ids {
		result := f.run(step{Args: []string{"keys", "new", "--id", id, "--out", id + ".key"}})
		if result.exit != 0 {
			t.Fatalf("create key with keys new: %s", result.stderr)
		}
		keys = append(keys, result.stdout)
	}
	f.writeFile("settings.json", f.settings(strings.Join(keys, ",")))
	for path, content := range files {
		f.writeFile(path, content)
	}
	return f
}

// dropWriteResponse wraps next. If dropResponse is set, it applies one write and
// aborts the connection without a response.
func (f *commandFixture) dropWriteResponse(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPut || !f.dropResponse.CompareAndSwap(true, false) {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	})
}

func (f *commandFixture) settings(keys string) string {
	template, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		f.t.Fatal(err)
	}
	return strings.NewReplacer(
		"{platform}", f.store.Listener.Addr().String(),
		"{keys}", keys,
	).Replace(string(template))
}

func (f *commandFixture) writeFile(path, content string) {
	f.t.Helper()
	if err := os.WriteFile(filepath.Join(f.directory, path), []byte(content), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *commandFixture) replaceInFile(path, old, current string) {
	f.t.Helper()
	data, err := os.ReadFile(filepath.Join(f.directory, path))
	if err != nil {
		f.t.Fatal(err)
	}
	if !bytes.Contains(data, []byte(old)) {
		f.t.Fatalf("%s does not contain %q", path, old)
	}
	f.writeFile(path, strings.ReplaceAll(string(data), old, current))
}

func (f *commandFixture) runSteps(steps []step) {
	f.t.Helper()
	for i, s := range steps {
		if len(s.Replace) > 0 {
			f.replaceInFile(s.Replace[0], s.Replace[1], s.Replace[2])
		}
		if s.LoseResponse {
			f.dropResponse.Store(true)
		}
		if s.StoreDown {
			f.store.Close()
		}
		if s.Args == nil {
			continue
		}
		r := f.run(s)
		is := is.New(f.t)
		if r.exit != s.Exit || !containsAll(r.stdout, s.Stdout) || !containsAll(r.stderr, s.Stderr) {
			f.t.Errorf("step %d: gentianstep %s\nexit code: got %d, want %d\nstdout: got %s\nwant parts %q\nstderr: got %s\nwant parts %q",
				i+1, strings.Join(s.Args, " "), r.exit, s.Exit, r.stdout, s.Stdout, r.stderr, s.Stderr)
		}
		is.True(!strings.Contains(r.stderr, "goroutine ")) // the program must not panic
	}
}

// result is the exit code and the output of one run.
type result struct {
	exit           int
	stdout, stderr string
}

func (f *commandFixture) run(s step) result {
	f.t.Helper()
	var stdout, stderr bytes.Buffer
	docs, err := filepath.Abs("../../docs")
	if err != nil {
		f.t.Fatal(err)
	}
	args := make([]string, 0, len(s.Args))
	for _, arg := range s.Args {
		args = append(args, strings.ReplaceAll(arg, "{docs}", docs))
	}
	c := exec.CommandContext(f.t.Context(), filepath.Join(binDir, "gentianstep"), args...)
	c.Dir = f.directory
	c.Stdin = strings.NewReader(s.Stdin)
	c.Stdout = &stdout
	c.Stderr = &stderr
	err = c.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		f.t.Fatal(err)
	}
	return result{exit: c.ProcessState.ExitCode(), stdout: stdout.String(), stderr: stderr.String()}
}

func containsAll(text string, parts []string) bool {
	for _, part := range parts {
		if !strings.Contains(text, part) {
			return false
		}
	}
	return true
}
