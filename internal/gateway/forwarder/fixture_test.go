package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/gateway/forwarder"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/operating/reserver"
	"gentianstep.example/gentianstep/internal/peering/coordinator"
	"gentianstep.example/gentianstep/internal/routing/budgeter"
	"gentianstep.example/gentianstep/internal/routing/matcher"
	"gentianstep.example/gentianstep/internal/routing/picker"
	"gentianstep.example/gentianstep/internal/routing/withholder"
	"gentianstep.example/gentianstep/internal/testing/piper"
	"gentianstep.example/gentianstep/internal/upstream/caller"
	"gentianstep.example/gentianstep/internal/upstream/isolator"
	"gentianstep.example/gentianstep/internal/upstream/noticer"
	"gentianstep.example/gentianstep/internal/upstream/verifier"
	"gentianstep.example/gentianstep/platform"
	"gentianstep.example/gentianstep/platform/platformtest"
)

const (
	gatewayAddress = "10.0.0.100:80"
	timeout        = time.Second
	// memoryBudget is the budget for the bytes of clients.
	memoryBudget = 1 << 20
)

// fixture runs a forwarder with workers as upstreams on an in-memory network.
type fixture struct {
	network   *piper.Network
	forwarder *forwarder.Forwarder
	directory *directory
	workers   []*platformtest.Worker
	client    *http.Client
	view      *coordinator.View
	noticer   *noticer.Noticer
	isolator  *isolator.Isolator
	// memory is the budget of the latest forwarder.
	memory    *reserver.Reserver
	startedAt time.Time
	// dialDelay is the time to open a connection to a worker in ns.
	dialDelay atomic.Int64
	// upstreams, if set, opens the connections to all workers.
	upstreams caller.DialFunc
	// dials counts the connections that are being opened. Transports open some for
	// requests that others have served meanwhile.
	dials sync.WaitGroup
	log   *logBuffer
}

// logBuffer holds the log lines. It may be read while requests write to it.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (b *logBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(data)
}

// String returns all lines.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// testConfiguration returns a configuration with a route of each kind. All lead
// to the workers of one service.
func testConfiguration() *matcher.Configuration {
	route := func(name string, kind matcher.Kind) matcher.Route {
		return matcher.Route{
			Name: name, Host: "a.example", Prefix: "/" + name + "/", Kind: kind, Timeout: timeout,
			TargetLatency: timeout / 2, MaxAttempts: 2, Services: []matcher.WeightedService{{Service: "s", Weight: 1}},
			CarriesPrompt: kind == matcher.Stream, Resumable: name == "resumable",
		}
	}
	public := route("public", matcher.Idempotent)
	public.Public = true
	anyPath := route("any", matcher.Idempotent)
	anyPath.Host, anyPath.Prefix = "any.example", "/"
	once := route("once", matcher.Stream)
	once.MaxAttempts = 1
	long := route("long", matcher.Stream)
	long.Timeout, long.Resumable = 5*time.Second, true
	return &matcher.Configuration{
		Version: 1,
		Routes: []matcher.Route{
			route("idempotent", matcher.Idempotent),
			route("non_idempotent", matcher.NonIdempotent),
			route("stream", matcher.Stream),
			route("resumable", matcher.Stream),
			public, once, long, anyPath,
		},
		Services:      map[string]matcher.Service{"s": {Name: "s", Engine: &matcher.Engine{Slots: 4}}},
		Organisations: []matcher.Organisation{{Name: "o1", Keys: []string{"k1"}}, {Name: "o2", Keys: []string{"k2"}, Isolated: true}},
		Limits:        matcher.Limits{BodyBytes: 4096},
	}
}

// newFixture starts a forwarder and a number of workers.
func newFixture(t *testing.T, workers int) *fixture {
	t.Helper()
	f := &fixture{
		network:   piper.New(),
		view:      coordinator.NewView(),
		directory: &directory{configuration: matcher.New(testConfiguration()), upstreams: make(map[string][]*registrar.Upstream)},
		log:       &logBuffer{},
		startedAt: time.Now(),
	}
	for n := range workers {
		worker := platformtest.NewWorker(fmt.Sprintf("w%d", n+1))
		worker.SetModel("m", 1)
		f.network.Serve(workerAddress(n).String(), worker)
		f.workers = append(f.workers, worker)
		f.directory.upstreams["s"] = append(f.directory.upstreams["s"], f.entry(n))
	}
	log := logrus.New()
	log.SetOutput(f.log)
	log.SetFormatter(&logrus.JSONFormatter{})
	f.noticer = newNoticer(logrus.NewEntry(log))
	calls := caller.New(caller.Config{Dial: f.dial, IdleTimeout: time.Second})
	f.forwarder = f.newForwarder("vm", calls, logrus.NewEntry(log))
	f.network.Serve(gatewayAddress, f.forwarder)
	transport := &http.Transport{DialContext: f.network.Dial, DisableCompression: true}
	f.client = &http.Client{Transport: transport}
	stopChecks := f.startChecks(log)
	t.Cleanup(func() {
		stopChecks()
		f.dials.Wait()
		transport.CloseIdleConnections()
		calls.Close()
		f.network.Close()
	})
	return f
}

// newNoticer returns a noticer without notices.
func newNoticer(log *logrus.Entry) *noticer.Noticer {
	return noticer.New(noticer.Config{
		Bounds: withholder.Config{Drain: 2500 * time.Millisecond, MaxHoldOff: 10 * time.Minute},
		Meter:  meter.New(),
		Log:    log,
	})
}

// newForwarder returns a forwarder with the noticer and the view of the fixture, and with
// an isolator of its own.
func (f *fixture) newForwarder(node string, calls *caller.Caller, log *logrus.Entry) *forwarder.Forwarder {
	f.isolator = isolator.New(isolator.Config{
		Node:      node,
		IsRefused: calls.IsRefused,
		Meter:     meter.New(),
		Log:       log,
	})
	f.memory = reserver.New(reserver.Config{Bytes: memoryBudget, Meter: meter.New(), Log: log})
	return forwarder.New(forwarder.Config{
		Dialect:      platform.Dialect{},
		Directory:    f.directory,
		View:         f.view,
		Caller:       calls,
		Noticer:      f.noticer,
		Isolator:     f.isolator,
		Picker:       picker.Config{AvailabilityZone: "z", Regions: map[string]string{"z": "r"}, Seed: 1},
		Budget:       budgeter.Config{Ratio: 0.2, Extra: 50, Window: 10 * time.Second},
		WeightsApply: 8 * time.Second,
		Memory:       f.memory,
		Meter:        meter.New(),
		Log:          log,
	})
}

// startChecks checks upstreams that may be leaving until the returned function is called.
func (f *fixture) startChecks(log *logrus.Logger) func() {
	v := verifier.New(verifier.Config{
		Directory: f.directory,
		Noticer:   f.noticer,
		Checker: platform.HealthClient{
			HTTPClient: &http.Client{Transport: &http.Transport{DialContext: f.dial, DisableKeepAlives: true}},
			Noticer:    f.noticer,
			Path:       func(string) string { return "/health" },
		},
		Log: logrus.NewEntry(log),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var run sync.WaitGroup
	run.Go(func() { v.Run(ctx) })
	return func() {
		cancel()
		run.Wait()
	}
}

// dial opens a connection to a worker after dialDelay.
func (f *fixture) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if f.upstreams != nil {
		return f.upstreams(ctx, network, address)
	}
	f.dials.Add(1)
	defer f.dials.Done()
	select {
	case <-time.After(time.Duration(f.dialDelay.Load())):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return f.network.Dial(ctx, network, address)
}

// entry returns the registration of a worker.
func (f *fixture) entry(n int) *registrar.Upstream {
	return &registrar.Upstream{
		ID: f.workers[n].ID, Service: "s", AvailabilityZone: "z", Slots: 4, Weights: map[string]uint64{"m": 1},
		Address: workerAddress(n),
	}
}

func workerAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}), 80)
}

// request returns a valid client request for a route.
func (f *fixture) request(t *testing.T, route, id string) *http.Request {
	t.Helper()
	method := http.MethodPost
	if route == "idempotent" {
		method = http.MethodGet
	}
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+gatewayAddress+"/"+route+"/x", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "a.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Credential", "k1")
	r.Header.Set("Deadline-Ms", "5000")
	if slices.Contains([]string{"stream", "resumable", "once", "long"}, route) {
		r.Header.Set("Model", "m")
		r.Header.Set("Token-Usage", "100,10")
	}
	return r
}

// answer is the response or the error that a client received.
type answer struct {
	status int
	header http.Header
	body   string
	// err is set if no complete response was received.
	err  error
	took time.Duration
}

// do sends a request and reads the whole response.
func (f *fixture) do(r *http.Request) answer {
	began := time.Now()
	response, err := f.client.Do(r)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, string(body), err, time.Since(began)}
}

// runs counts the requests that workers have run.
func (f *fixture) runs() int {
	n := 0
	for _, w := range f.workers {
		n += len(w.Runs())
	}
	return n
}

// arrivals counts the requests that have reached a worker, run or not.
func (f *fixture) arrivals() int {
	n := 0
	for _, w := range f.workers {
		n += w.Arrivals()
	}
	return n
}
