package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gentianstep.example/gentianstep/internal/testing/launcher"
	"gentianstep.example/gentianstep/platform/platformtest"
)

// gatewayVM is a gateway process with its settings file and addresses.
type gatewayVM struct {
	process  *launcher.Process
	settings string
	client   string
	ready    string
	metrics  string
	// peers is the address for other VMs.
	peers string
}

// registration is what the entry of a worker states besides its own state.
type registration struct {
	service, address string
}

// platformFixture is a platform store with two workers. Its methods start and
// query the VMs that route to the workers.
type platformFixture struct {
	t            *testing.T
	store        *platformtest.Store
	door         *platformtest.Endpoint
	address      string
	engineWorker *platformtest.Worker
	appWorker    *platformtest.Worker
	// registrations holds the registration of each worker.
	registrations map[*platformtest.Worker]registration
	client        *http.Client
	// graceS is the stop grace period of VMs in seconds, and routeTimeoutMS the timeout of routes.
	graceS         float64
	routeTimeoutMS int
	// organisations, if set, replace the only one, and bounds are further lines of settings.
	organisations []any
	bounds        string
	// maxBodyBytes is the limit of a request body in the configuration.
	maxBodyBytes int
	// memoryMB and descriptors are the limits of a VM.
	memoryMB, descriptors int
}

func newPlatform(t *testing.T) *platformFixture {
	t.Helper()
	p := &platformFixture{t: t, store: platformtest.NewStore(), registrations: make(map[*platformtest.Worker]registration), client: &http.Client{Timeout: 10 * time.Second}, graceS: 8, routeTimeoutMS: 3000, maxBodyBytes: bodyLimit, memoryMB: memoryLimitMB, descriptors: descriptorLimit}
	p.door = p.store.NewEndpoint()
	server := httptest.NewServer(p.door)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	p.address = strings.TrimPrefix(server.URL, "http://")
	p.engineWorker, p.appWorker = platformtest.NewWorker("engine"), platformtest.NewWorker("desk")
	p.engineWorker.SetModel("m", 1)
	p.engineWorker.LoadTime, p.engineWorker.StartedAtMS = 200*time.Millisecond, time.Now().UnixMilli()
	p.addWorker(p.engineWorker, "llm")
	p.addWorker(p.appWorker, "app")
	p.configure(1, "k1", "k2")
	return p
}

func (p *platformFixture) addWorker(w *platformtest.Worker, service string) {
	server := httptest.NewServer(w)
	p.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	p.registrations[w] = registration{service, strings.TrimPrefix(server.URL, "http://")}
	p.register(w)
}

// register writes the entry of a worker.
func (p *platformFixture) register(w *platformtest.Worker) {
	r := p.registrations[w]
	p.store.Put(w.Key(), w.Entry(r.service, r.address, "z1", 8))
}

func (p *platformFixture) configure(version int, keys ...string) {
	route := func(name, kind, service string, sticky, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "a.example", "prefix": "/" + name + "/", "kind": kind, "service": service, "timeout_ms": p.routeTimeoutMS,
			"target_latency_ms": 800, "priority": 1, "max_attempts": 2, "sticky": sticky, "resumable": resumable, "gap_target_ms": 300,
		}
	}
	organisations := p.organisations
	if organisations == nil {
		organisations = []any{map[string]any{"name": "o1", "api_keys": keys, "priority": 1, "isolated": false}}
	}
	p.store.Put("op/config", map[string]any{
		"version": version,
		"routes": []any{
			route("look", "idempotent", "app", false, false),
			route("order", "non_idempotent", "app", false, false),
			route("match", "stream", "llm", true, true),
			route("ask", "stream", "llm", true, false),
		},
		"services": []any{
			map[string]any{"name": "app", "max_connections": 110},
			map[string]any{"name": "llm", "max_connections": 210, "engine": map[string]any{"slots": 8, "token_kv_bytes": 1000, "link_mbps": 1000.0}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": p.maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": organisations,
	})
}

// nameWeights writes the wanted version of a model's weights.
func (p *platformFixture) nameWeights(model string, version int) {
	p.store.Put("op/version/"+model, map[string]any{"model": model, "version": version})
}

// freePorts returns four free ports. The last two are consecutive because
// internal_ports is a range.
func freePorts(t *testing.T) []uint16 {
	t.Helper()
	ports := []uint16{launcher.FreeAddress(t).Port(), launcher.FreeAddress(t).Port()}
	first := launcher.FreeAddress(t).Port()
	for {
		second := launcher.FreeAddress(t).Port()
		if second == first+1 {
			return append(ports, first, second)
		}
		first = second
	}
}

func (p *platformFixture) start(node string) *gatewayVM {
	p.t.Helper()
	vm := p.prepare(node)
	vm.process = launcher.Start(p.t, node, launcher.Build(p.t).Gentianstep, "gateway", "--settings", vm.settings)
	return vm
}

// prepare writes the settings of a VM.
func (p *platformFixture) prepare(node string) *gatewayVM {
	p.t.Helper()
	ports := freePorts(p.t)
	vm := &gatewayVM{
		settings: filepath.Join(p.t.TempDir(), "node.toml"),
		client:   fmt.Sprintf("%s:%d", launcher.Host(), ports[0]),
		ready:    fmt.Sprintf("http://%s:%d/api/ready", launcher.Host(), ports[1]),
		metrics:  fmt.Sprintf("http://%s:%d/metrics", launcher.Host(), ports[3]),
		peers:    fmt.Sprintf("%s:%d", launcher.Host(), ports[2]),
	}
	p.writeSettings(vm, node, ports)
	return vm
}

func (p *platformFixture) writeSettings(vm *gatewayVM, node string, ports []uint16) {
	p.t.Helper()
	text := fmt.Sprintf(`node = %q
ip = %q
zone = "z1"
region = "r1"
internal_ports = [%d,%d]
seeds = []
heartbeat_ms = 1200
[zones]
z1 = "r1"
[listen]
front = %q
ready = "%s:%d"
[limits]
memory_mb = %d
max_fds = %d
[bounds]
drain_ms = 2500
grace_s = %g
config_apply_ms = 2500
version_ms = 6000
budget_ratio = 0.2
budget_extra = 58
budget_window_s = 10
lease_ms = 3000
require_fencing = true
%s[platform]
address = %q
ttl_min_ms = 1000
`, node, launcher.Host(), ports[2], ports[3], vm.client, launcher.Host(), ports[1], p.memoryMB, p.descriptors, p.graceS, p.bounds, p.address)
	if err := os.WriteFile(vm.settings, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// sendRequest sends a request and returns the status and the body of the
// response. The status is 0 if no complete response arrived.
func (p *platformFixture) sendRequest(vm *gatewayVM, route, id, key string) (int, string) {
	p.t.Helper()
	r, err := http.NewRequestWithContext(p.t.Context(), http.MethodPost, "http://"+vm.client+"/"+route+"/x", strings.NewReader("body"))
	if err != nil {
		p.t.Fatal(err)
	}
	r.Host = "a.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Credential", key)
	r.Header.Set("Deadline-Ms", "3000")
	if route == "match" || route == "ask" {
		r.Header.Set("Model", "m")
		r.Header.Set("Token-Usage", "100,10")
		r.Header.Set("Prompt-Prefix", "aa:50,bb:50")
	}
	response, err := p.client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}

func (p *platformFixture) status(url string) int {
	response, err := p.client.Get(url) //nolint:noctx // The client has a timeout.
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// fetchText returns the response body of a GET request, or an empty string if
// the request failed.
func (p *platformFixture) fetchText(url string) string {
	response, err := p.client.Get(url) //nolint:noctx // The client has a timeout.
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return ""
	}
	return string(body)
}

// eventually polls condition and fails the test if it does not hold in time.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	launcher.Until(t, 15*time.Second, description, condition)
}

// logged reports whether the VM has logged an event.
func (vm *gatewayVM) logged(event string) bool { return vm.countLogged(event) > 0 }

// countLogged returns how often the VM has logged an event.
func (vm *gatewayVM) countLogged(event string) int {
	return strings.Count(vm.process.Output(), `"event":"`+event+`"`)
}
