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

// runProgram runs gentianstep and returns its standard output and exit code.
func runProgram(t *testing.T, args ...string) (string, int) {
	t.Helper()
	c := exec.CommandContext(t.Context(), filepath.Join(binDir, "gentianstep"), args...)
	text, _ := c.Output()
	return string(text), c.ProcessState.ExitCode()
}

// postRequest sends a POST request and returns the request ID and the status of
// the response.
func postRequest(ctx context.Context, t *testing.T, url, key, body string) (string, int) {
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

func TestStatusReportsEveryProcess(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := launcher.Deploy(t, launcher.Shape{VMs: 2, Engines: 1, Services: 1})
	settings := d.VMs[0].SettingsPath
	launcher.Until(t, stateTimeout, "all processes have version 1", func() bool {
		return allInForce(t, settings, 1)
	})
	table, exit := runProgram(t, "status", "--settings", settings)
	is.Equal(exit, exitSuccess)
	is.Equal(strings.Count(table, "newest"), 4) // rows of two routers and two controllers
	d.Bundle.Version = 2
	d.Publish()
	launcher.Until(t, stateTimeout, "all processes have version 2", func() bool {
		return allInForce(t, settings, 2)
	})
	d.VMs[1].Controller.Kill()
	table, exit = runProgram(t, "status", "--settings", settings)
	is.Equal(exit, exitFailure)
	is.True(strings.Contains(table, "no answer"))
}

// allInForce reports whether the status subcommand shows the bundle version in
// force on all four processes.
func allInForce(t *testing.T, settings string, version uint64) bool {
	t.Helper()
	text, exit := runProgram(t, "status", "--settings", settings, "--json")
	var report inspector.Report
	if err := json.Unmarshal([]byte(text), &report); err != nil {
		t.Fatalf("decode output of status %q: %v", text, err)
	}
	for _, row := range report.Rows {
		if row.BundleVersion != version || row.InForceSince.IsZero() {
			return false
		}
	}
	return exit == exitSuccess && report.Uniform() && len(report.Rows) == 4
}

func TestExplainQueriesRouters(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := launcher.Deploy(t, launcher.Shape{VMs: 1, Engines: 1, Services: 1})
	id, status := postRequest(t.Context(), t, d.URL(0, "/v1/completions"), launcher.CallerKey, completion)
	is.Equal(status, http.StatusOK)
	text, exit := runProgram(t, "explain", id, "--settings", d.VMs[0].SettingsPath)
	is.Equal(exit, exitSuccess)
	is.True(strings.Contains(text, "tile-0"))
	text, exit = runProgram(t, "explain", id, "--json", "--settings", d.VMs[0].SettingsPath, "--address", d.VMs[0].Settings.Router.OperatorAddress.String())
	is.Equal(exit, exitSuccess)
	is.True(strings.Contains(text, `"chosen": "tile-0"`))
	_, exit = runProgram(t, "explain", "absent", "--settings", d.VMs[0].SettingsPath)
	is.Equal(exit, exitFailure)
}

func TestSecretsStayOutOfLogsAndMetrics(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := launcher.Deploy(t, launcher.Shape{VMs: 1, Engines: 1, Services: 1})
	vm := d.VMs[0]
	id, status := postRequest(t.Context(), t, d.URL(0, "/v1/completions"), launcher.CallerKey, completion)
	is.Equal(status, http.StatusOK)
	_, status = postRequest(t.Context(), t, d.URL(0, "/v1/completions"), unknownKey, completion)
	is.Equal(status, http.StatusUnauthorized)
	_, status = postRequest(t.Context(), t, d.URL(0, "/v1/completions?key="+unknownKey), launcher.CallerKey, "{")
	is.Equal(status, http.StatusBadRequest)
	_, status = postRequest(t.Context(), t, d.URL(0, "/v1/services/sample-desk/orders"), launcher.CallerKey, "{}")
	is.Equal(status, http.StatusOK)
	seed := privateSeed(t, filepath.Join(filepath.Dir(vm.SettingsPath), "ops-1.key"))
	operators := "http://" + vm.Settings.Router.OperatorAddress.String()
	all := strings.Join([]string{
		vm.Router.Output(),
		vm.Controller.Output(),
		d.Platform.Output(),
		fetchText(t, operators+"/status"),
		fetchText(t, operators+"/metrics"),
		fetchText(t, operators+"/explain/"+id),
	}, "\n")
	is.True(strings.Contains(all, id)) // the collected output covers the requests
	is.True(strings.Contains(all, `gentianstep_failures_total{kind="unauthenticated"} 1`))
	for _, secret := range []string{launcher.CallerKey, unknownKey, seed, "catalogue sheet"} {
		is.True(!strings.Contains(all, secret)) // no key and no prompt appears in the output
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
		t.Fatalf("decode private key file: %v", err)
	}
	return key.Seed
}

func fetchText(t *testing.T, url string) string {
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
