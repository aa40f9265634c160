package reader_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/controlling/coordinator"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/standin/disrupter"
	"gentianstep.example/gentianstep/internal/standin/generator"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/testing/piper"
	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/internal/upstream/observer"
	"gentianstep.example/gentianstep/internal/upstream/reader"
)

const (
	modelName    = "tile-match"
	version      = "w1"
	organisation = "a"
	// cacheBlocks is the size of the engine's cache and of each prompt, so that
	// each prompt evicts the previous one.
	cacheBlocks = 8
	region      = "west"
	// settleTime is long enough to detect a stalled connection and to recover
	// lost events.
	settleTime = 20 * time.Second
)

var address = netip.MustParseAddrPort("10.0.0.1:80")

// row is a test case.
type row struct {
	Name  string
	Kind  disrupter.Kind
	Event int
	// Restart replaces the engine by a new incarnation between the prompts.
	Restart bool
	// Held is the number of blocks of the second prompt that the index must
	// finally list as cached.
	Held int
}

// testbed is an engine and a controller that reads its cache events.
type testbed struct {
	network *piper.Network
	control *coordinator.Coordinator
	handler http.Handler
	client  *http.Client
	log     *logrus.Entry
}

// Send implements coordinator.Peers.
func (b *testbed) Send(string, messenger.Message) bool { return false }

// Connected implements coordinator.Peers.
func (b *testbed) Connected(string) bool { return false }

// Broadcast implements coordinator.Routers.
func (b *testbed) Broadcast(messenger.Message) {}

// Start implements coordinator.Readers.
func (b *testbed) Start(ctx context.Context, u checker.Upstream) {
	go reader.New(reader.Config{
		Upstream: u.Name,
		Address:  u.Address,
		Client:   b.client,
		OnEvent:  b.control.ReceiveEvent,
		Log:      b.log,
	}).Run(ctx)
}

// startEngine starts an engine of the given incarnation at address and injects
// the fault of r into its stream of cache events.
func (b *testbed) startEngine(t *testing.T, incarnation uint64, r row) {
	t.Helper()
	e := generator.New(generator.Config{
		Name:        "up-0",
		Models:      []observer.LoadedModel{{Name: modelName, WeightsVersion: version}},
		Slots:       1,
		CacheBlocks: cacheBlocks,
		Incarnation: incarnation,
	})
	b.handler = generator.Handler(e)
	d := disrupter.New(b.handler)
	if r.Kind != "" {
		is.New(t).NoErr(d.Inject(disrupter.Fault{
			PathPrefix: "/v1/control/events", Place: disrupter.AtEvent, Kind: r.Kind, Event: r.Event, Times: 1,
		}))
	}
	b.network.Stop(address.String())
	b.network.Serve(address.String(), d)
}

func promptOf(n int) string {
	return strings.Repeat(fmt.Sprint(n), cacheBlocks*hasher.BlockBytes)
}

// complete sends prompt n to the engine for completion.
func (b *testbed) complete(ctx context.Context, n int) {
	body := fmt.Sprintf(`{"model": %q, "prompt": %q, "max_tokens": 1, "stream": true}`, modelName, promptOf(n))
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/completions", strings.NewReader(body))
	request.Header.Set(encoder.HeaderRequestID, fmt.Sprint(n))
	request.Header.Set(encoder.HeaderOrganisation, organisation)
	request.Header.Set(encoder.HeaderWeightsVersion, version)
	b.handler.ServeHTTP(httptest.NewRecorder(), request)
}

// heldBlocks returns the number of blocks of prompt n that the controller's index
// lists as cached for certain.
func (b *testbed) heldBlocks(n int) int {
	scope := hasher.Scope{Organisation: organisation, Model: modelName, WeightsVersion: version}
	lookup := messenger.Lookup{ID: 1, Checkpoints: hasher.Checkpoints(hasher.Chain(scope, promptOf(n)))}
	holdings := make(chan []indexer.Holding, 1)
	b.control.ReceiveMessage(messenger.Router, messenger.Message{Lookup: &lookup}, func(m messenger.Message) bool {
		holdings <- m.LookupReply.Holdings
		return true
	})
	for _, h := range <-holdings {
		return h.HeldBlocks
	}
	return 0
}

func (r row) run(t *testing.T) {
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	b := &testbed{network: piper.New(), log: logrus.NewEntry(log)}
	defer b.network.Close()
	transport := &http.Transport{DialContext: b.network.Dial}
	defer transport.CloseIdleConnections()
	b.client = &http.Client{Transport: transport}
	b.control = coordinator.New(coordinator.Config{
		Self: coordinator.Member{Node: "vm-0", Region: region}, Peers: b, Routers: b, Readers: b, Log: b.log,
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	b.startEngine(t, 1, r)
	go b.control.Run(ctx)
	b.control.SetBundle(&checker.Bundle{Upstreams: []checker.Upstream{
		{Name: "up-0", Kind: checker.Engine, Address: address, Region: region},
	}})
	b.complete(ctx, 1)
	<-time.After(settleTime)
	if r.Restart {
		is.Equal(b.heldBlocks(1), cacheBlocks) // the prompt is listed before the restart
		b.startEngine(t, 2, row{})
	}
	b.complete(ctx, 2)
	<-time.After(settleTime)
	is.Equal(b.heldBlocks(1), 0)      // the evicted prompt is not listed
	is.Equal(b.heldBlocks(2), r.Held) // the cached prompt is listed
	cancel()
	synctest.Wait()
}

// The index must not list evicted blocks, nor miss cached ones for long, when
// events are lost, duplicated, reordered or malformed, when the connection fails,
// or when the engine restarts with an empty cache.
func TestIndexIsCorrectAfterEventFaults(t *testing.T) {
	t.Parallel()
	var rows []row
	scripter.Read(t, "testdata/faults.json", &rows)
	for _, r := range rows {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, r.run)
		})
	}
}
