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

// scenario is a sequence of command lines in one directory.
type scenario struct {
	Name string `json:"name"`
	// Files are written before the first step.
	Files map[string]string `json:"files"`
	Steps []step            `json:"steps"`
}

// step is one run of the program and what it must show.
type step struct {
	Args      []string `json:"args"`
	Stdin     string   `json:"stdin"`
	StoreDown bool     `json:"store_down"`
	// LoseAnswer lets the store's next write take effect without an answer.
	LoseAnswer bool     `json:"lose_answer"`
	Exit       int      `json:"exit"`
	Stdout     []string `json:"stdout"`
	Stderr     []string `json:"stderr"`
	// Replace edits a file before the run: path, old text, new text.
	Replace []string `json:"replace"`
}

func TestCommands(t *testing.T) {
	t.Parallel()
	files, err := filepath.Glob("testdata/commands/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var scenarios []scenario
		if err := json.Unmarshal(data, &scenarios); err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		for _, s := range scenarios {
			t.Run(s.Name, func(t *testing.T) {
				t.Parallel()
				newBench(t, s.Files).play(s.Steps)
			})
		}
	}
}

// bench is a directory with settings, two keys and a store of its own.
type bench struct {
	t         *testing.T
	directory string
	store     *httptest.Server
	// loseAnswer is true until a write has lost its answer.
	loseAnswer atomic.Bool
}

func newBench(t *testing.T, files map[string]string) *bench {
	t.Helper()
	b := &bench{t: t, directory: t.TempDir()}
	b.store = httptest.NewServer(b.lossy(keeper.Handler(keeper.New())))
	t.Cleanup(b.store.Close)
	ids := []string{"ops-1", "ops-2"}
	keys := make([]string, 0, len(ids))
	for _, id := range ids {
		result := b.run(step{Args: []string{"keys", "new", "--id", id, "--out", id + ".key"}})
		if result.exit != 0 {
			t.Fatalf("keys new: %s", result.stderr)
		}
		keys = append(keys, result.stdout)
	}
	b.write("settings.json", b.settings(strings.Join(keys, ",")))
	for path, content := range files {
		b.write(path, content)
	}
	return b
}

// lossy serves with next and loses the answer of a write when it was told to.
func (b *bench) lossy(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPut || !b.loseAnswer.CompareAndSwap(true, false) {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	})
}

func (b *bench) settings(keys string) string {
	template, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		b.t.Fatal(err)
	}
	return strings.NewReplacer(
		"{platform}", b.store.Listener.Addr().String(),
		"{keys}", keys,
	).Replace(string(template))
}

func (b *bench) write(path, content string) {
	b.t.Helper()
	if err := os.WriteFile(filepath.Join(b.directory, path), []byte(content), 0o600); err != nil {
		b.t.Fatal(err)
	}
}

func (b *bench) replace(path, old, current string) {
	b.t.Helper()
	data, err := os.ReadFile(filepath.Join(b.directory, path))
	if err != nil {
		b.t.Fatal(err)
	}
	if !bytes.Contains(data, []byte(old)) {
		b.t.Fatalf("%s lacks %q", path, old)
	}
	b.write(path, strings.ReplaceAll(string(data), old, current))
}

func (b *bench) play(steps []step) {
	b.t.Helper()
	for i, s := range steps {
		if len(s.Replace) > 0 {
			b.replace(s.Replace[0], s.Replace[1], s.Replace[2])
		}
		if s.LoseAnswer {
			b.loseAnswer.Store(true)
		}
		if s.StoreDown {
			b.store.Close()
		}
		if s.Args == nil {
			continue
		}
		r := b.run(s)
		is := is.New(b.t)
		if r.exit != s.Exit || !containsAll(r.stdout, s.Stdout) || !containsAll(r.stderr, s.Stderr) {
			b.t.Errorf("step %d: gentianstep %s\nexit %d, takes %d\nstdout: %s\ntakes %q\nstderr: %s\ntakes %q",
				i+1, strings.Join(s.Args, " "), r.exit, s.Exit, r.stdout, s.Stdout, r.stderr, s.Stderr)
		}
		is.True(!strings.Contains(r.stderr, "goroutine ")) // no command line ends in a panic
	}
}

// result is what one run showed.
type result struct {
	exit           int
	stdout, stderr string
}

func (b *bench) run(s step) result {
	b.t.Helper()
	var stdout, stderr bytes.Buffer
	docs, err := filepath.Abs("../../docs")
	if err != nil {
		b.t.Fatal(err)
	}
	args := make([]string, 0, len(s.Args))
	for _, arg := range s.Args {
		args = append(args, strings.ReplaceAll(arg, "{docs}", docs))
	}
	c := exec.CommandContext(b.t.Context(), filepath.Join(programs, "gentianstep"), args...)
	c.Dir = b.directory
	c.Stdin = strings.NewReader(s.Stdin)
	c.Stdout = &stdout
	c.Stderr = &stderr
	err = c.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		b.t.Fatal(err)
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
