package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/operating/inspector"
	"gentianstep.example/gentianstep/internal/testing/launcher"
)

const (
	stateTimeout = 10 * time.Second
	unknownKey   = "unknown-caller-key"
)

// output runs the program and returns what it printed and its exit code.
func output(t *testing.T, args ...string) (string, int) {
	t.Helper()
	c := exec.CommandContext(t.Context(), filepath.Join(programs, "gentianstep"), args...)
	text, _ := c.Output()
	return string(text), c.ProcessState.ExitCode()
}

// send posts one request and returns its id and status.
func send(ctx context.Context, t *testing.T, url, key, body string) (string, int) {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	return response.Header.Get("X-Request-Id"), response.StatusCode
}

const completion = `{"model": "tile-match", "prompt": "catalogue sheet", "max_tokens": 2}`

func TestStatusFollowsEveryProcess(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := launcher.Deploy(t, launcher.Shape{VMs: 2, Engines: 1, Services: 1})
	settings := d.VMs[0].SettingsPath
	launcher.Until(t, stateTimeout, "all processes have version 1", func() bool {
		return uniform(t, settings, 1)
	})
	table, exit := output(t, "status", "--settings", settings)
	is.Equal(exit, exitDone)
	is.Equal(strings.Count(table, "newest"), 4) // two routers and two controllers
	d.Bundle.Version = 2
	d.Publish()
	launcher.Until(t, stateTimeout, "all processes have version 2", func() bool {
		return uniform(t, settings, 2)
	})
	d.VMs[1].Controller.Kill()
	table, exit = output(t, "status", "--settings", settings)
	is.Equal(exit, exitFailed)
	is.True(strings.Contains(table, "no answer"))
}

// uniform reports whether status shows that version on all four processes.
func uniform(t *testing.T, settings string, version uint64) bool {
	t.Helper()
	text, exit := output(t, "status", "--settings", settings, "--json")
	var report inspector.Report
	if err := json.Unmarshal([]byte(text), &report); err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	for _, row := range report.Rows {
		if row.BundleVersion != version || row.InForceSince.IsZero() {
			return false
		}
	}
	return exit == exitDone && report.Uniform() && len(report.Rows) == 4
}

func TestExplainAsksTheRouter(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := launcher.Deploy(t, launcher.Shape{VMs: 1, Engines: 1, Services: 1})
	id, status := send(t.Context(), t, d.URL(0, "/v1/completions"), launcher.CallerKey, completion)
	is.Equal(status, http.StatusOK)
	text, exit := output(t, "explain", id, "--settings", d.VMs[0].SettingsPath)
	is.Equal(exit, exitDone)
	is.True(strings.Contains(text, "tile-0"))
	text, exit = output(t, "explain", id, "--json", "--settings", d.VMs[0].SettingsPath, "--address", d.VMs[0].Settings.Router.OperatorAddress.String())
	is.Equal(exit, exitDone)
	is.True(strings.Contains(text, `"chosen": "tile-0"`))
	_, exit = output(t, "explain", "absent", "--settings", d.VMs[0].SettingsPath)
	is.Equal(exit, exitFailed)
}

func TestSecretsStayOutOfLogsAndMetrics(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := launcher.Deploy(t, launcher.Shape{VMs: 1, Engines: 1, Services: 1})
	vm := d.VMs[0]
	id, status := send(t.Context(), t, d.URL(0, "/v1/completions"), launcher.CallerKey, completion)
	is.Equal(status, http.StatusOK)
	_, status = send(t.Context(), t, d.URL(0, "/v1/completions"), unknownKey, completion)
	is.Equal(status, http.StatusUnauthorized)
	_, status = send(t.Context(), t, d.URL(0, "/v1/completions?key="+unknownKey), launcher.CallerKey, "{")
	is.Equal(status, http.StatusBadRequest)
	_, status = send(t.Context(), t, d.URL(0, "/v1/services/sample-desk/orders"), launcher.CallerKey, "{}")
	is.Equal(status, http.StatusOK)
	seed := privateSeed(t, filepath.Join(filepath.Dir(vm.SettingsPath), "ops-1.key"))
	operators := "http://" + vm.Settings.Router.OperatorAddress.String()
	all := strings.Join([]string{
		vm.Router.Output(),
		vm.Controller.Output(),
		d.Platform.Output(),
		get(t, operators+"/status"),
		get(t, operators+"/metrics"),
		get(t, operators+"/explain/"+id),
	}, "\n")
	is.True(strings.Contains(all, id)) // the output does tell of the requests
	is.True(strings.Contains(all, `gentianstep_failures_total{kind="unauthenticated"} 1`))
	for _, secret := range []string{launcher.CallerKey, unknownKey, seed, "catalogue sheet"} {
		is.True(!strings.Contains(all, secret)) // no key and no prompt is shown
	}
}

func privateSeed(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var key struct {
		Seed string `json:"seed"`
	}
	if err := json.Unmarshal(data, &key); err != nil || key.Seed == "" {
		t.Fatalf("key file: %v", err)
	}
	return key.Seed
}

func get(t *testing.T, url string) string {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
