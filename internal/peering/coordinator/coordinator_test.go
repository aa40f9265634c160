package coordinator_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/caching/cataloguer"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/peering/coordinator"
	"gentianstep.example/gentianstep/internal/testing/piper"
)

// movedWithin is three reports: the one that meets the former hub, the first one
// to the next, and one to spare.
const movedWithin = 180 * time.Millisecond

var hubAddress = netip.MustParseAddrPort("10.0.0.1:7340")

func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// vm is a subscriber with what it has in flight at upstream u.
type vm struct {
	view *coordinator.View
	stop context.CancelFunc

	mu    sync.Mutex
	loads map[string]coordinator.Load
	sent  []coordinator.Cached
}

func (v *vm) set(load coordinator.Load) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.loads = map[string]coordinator.Load{"u": load}
}

func (v *vm) takeSent() []coordinator.Cached {
	v.mu.Lock()
	defer v.mu.Unlock()
	sent := v.sent
	v.sent = nil
	return sent
}

func startVM(t *testing.T, network *piper.Network, node string, hub func() (netip.AddrPort, bool)) *vm {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	transport := &http.Transport{DialContext: network.Dial}
	v := &vm{view: coordinator.NewView(), stop: stop}
	go coordinator.NewSubscriber(coordinator.SubscriberConfig{
		Node: node,
		Hub:  hub,
		Loads: func() map[string]coordinator.Load {
			v.mu.Lock()
			defer v.mu.Unlock()
			return v.loads
		},
		Sent:   v.takeSent,
		View:   v.view,
		Client: &http.Client{Transport: transport},
		Log:    quiet(),
	}).Run(ctx)
	t.Cleanup(transport.CloseIdleConnections)
	return v
}

// startHub runs a hub on a network of its own.
func startHub(active func() bool) (*piper.Network, *coordinator.Hub) {
	network := piper.New()
	hub := coordinator.NewHub(coordinator.HubConfig{Active: active, Log: quiet()})
	network.Serve(hubAddress.String(), hub)
	return network, hub
}

func always() bool { return true }

func knownHub() (netip.AddrPort, bool) { return hubAddress, true }

func TestHubTellsWhatOthersKnow(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var active atomic.Bool
		active.Store(true)
		network, hub := startHub(active.Load)
		a, b := startVM(t, network, "a", knownHub), startVM(t, network, "b", knownHub)
		time.Sleep(time.Second)
		// Loads: each hears those of the other alone, within moments.
		a.set(coordinator.Load{InFlight: 3, PromptTokens: 9000})
		time.Sleep(200 * time.Millisecond)
		is.Equal(b.view.Load(time.Now(), "u"), coordinator.Load{InFlight: 3, PromptTokens: 9000})
		is.Equal(a.view.Load(time.Now(), "u"), coordinator.Load{})
		is.Equal(hub.Totals()["u"].InFlight, 3)
		// Engines that change their weights, by their start to the millisecond.
		u := &registrar.Upstream{ID: "u", StartedAt: time.UnixMilli(1_790_000_000_123), Weights: map[string]uint64{"m": 1}}
		hub.SetEngine(coordinator.Engine{Upstream: "u", StartedAt: u.StartedAt, Changing: true, Weights: map[string]uint64{"m": 1}})
		time.Sleep(100 * time.Millisecond)
		is.True(a.view.Changing(time.Now(), u))
		is.True(b.view.Changing(time.Now(), u))
		again := *u
		again.StartedAt = u.StartedAt.Add(time.Millisecond)
		is.True(!a.view.Changing(time.Now(), &again)) // another run of it
		hub.SetEngine(coordinator.Engine{Upstream: "u", StartedAt: u.StartedAt, Weights: map[string]uint64{"m": 2}})
		time.Sleep(100 * time.Millisecond)
		is.True(!a.view.Changing(time.Now(), u))
		is.Equal(a.view.Weights(u, "m"), uint64(2))
		is.Equal(a.view.Weights(u, "other"), uint64(0))
		// Cached parts, those that are only on their way included.
		part := cataloguer.Part{Scope: "@2", ID: "p"}
		a.mu.Lock()
		a.sent = []coordinator.Cached{{Upstream: "u", Scope: "@2", ID: "p", Tokens: 5000}}
		a.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		is.Equal(b.view.Holders(part), map[string]cataloguer.Holding{"u": {Tokens: 5000, Pending: true}})
		hub.SetCached("u", part, 4992)
		time.Sleep(100 * time.Millisecond)
		is.Equal(b.view.Holders(part), map[string]cataloguer.Holding{"u": {Tokens: 4992}})
		hub.Forget("u")
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(b.view.Holders(part)), 0)
		// A hub that is one no more lets go, and its loads are void soon.
		active.Store(false)
		time.Sleep(3 * time.Second)
		is.Equal(b.view.Load(time.Now(), "u"), coordinator.Load{})
		a.stop()
		b.stop()
		network.Close()
	})
}

// TestHubThatMoves lets another VM be the hub. Loads of others have to be known
// again before many requests were sent without.
func TestHubThatMoves(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := piper.New()
		addresses := []netip.AddrPort{hubAddress, netip.MustParseAddrPort("10.0.0.2:7340")}
		var at atomic.Int64
		for n, address := range addresses {
			active := func() bool { return at.Load() == int64(n) }
			network.Serve(address.String(), coordinator.NewHub(coordinator.HubConfig{Active: active, Log: quiet()}))
		}
		current := func() (netip.AddrPort, bool) { return addresses[at.Load()], true }
		a, b := startVM(t, network, "a", current), startVM(t, network, "b", current)
		a.set(coordinator.Load{InFlight: 1})
		time.Sleep(time.Second)
		is.Equal(b.view.Load(time.Now(), "u").InFlight, 1)
		at.Store(1)
		a.set(coordinator.Load{InFlight: 2})
		time.Sleep(movedWithin)
		is.Equal(b.view.Load(time.Now(), "u").InFlight, 2)
		a.stop()
		b.stop()
		network.Close()
	})
}

// TestHubThatLeadsAgain resets a hub whose readers of cache events go on, as it
// does where its VM has taken the lease again after an outage of the store.
func TestHubThatLeadsAgain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network, hub := startHub(always)
		a := startVM(t, network, "a", knownHub)
		part := cataloguer.Part{Scope: "@2", ID: "p"}
		u := &registrar.Upstream{ID: "u", StartedAt: time.UnixMilli(1_790_000_000_123), Weights: map[string]uint64{"m": 1}}
		hub.SetCached("u", part, 4992)
		hub.SetEngine(coordinator.Engine{Upstream: "u", StartedAt: u.StartedAt, Changing: true, Weights: u.Weights})
		time.Sleep(time.Second)
		is.True(a.view.Changing(time.Now(), u))
		hub.Reset()
		time.Sleep(100 * time.Millisecond)
		is.True(!a.view.Changing(time.Now(), u)) // of before, and told by nobody now
		is.Equal(a.view.Holders(part), map[string]cataloguer.Holding{"u": {Tokens: 4992}})
		a.stop()
		network.Close()
	})
}

func TestPartThatDoesNotComeIsForgotten(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network, _ := startHub(always)
		a, b := startVM(t, network, "a", knownHub), startVM(t, network, "b", knownHub)
		a.mu.Lock()
		a.sent = []coordinator.Cached{{Upstream: "u", Scope: "@2", ID: "p", Tokens: 5000}}
		a.mu.Unlock()
		time.Sleep(time.Second)
		part := cataloguer.Part{Scope: "@2", ID: "p"}
		is.Equal(len(b.view.Holders(part)), 1)
		time.Sleep(5 * time.Second)
		is.Equal(len(b.view.Holders(part)), 0)
		a.stop()
		b.stop()
		network.Close()
	})
}

func TestVMThatFallsSilentCountsNoMore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network, hub := startHub(always)
		a := startVM(t, network, "a", knownHub)
		a.set(coordinator.Load{InFlight: 3})
		time.Sleep(time.Second)
		is.Equal(hub.Totals()["u"].InFlight, 3)
		network.Lose(hubAddress.String(), true) // nothing arrives any more
		time.Sleep(3 * time.Second)
		is.Equal(hub.Totals()["u"].InFlight, 0)
		a.stop()
		network.Close()
	})
}

func TestReportsAreChecked(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.True(coordinator.Report{}.Check() != nil)
	is.True(coordinator.Report{Node: "a", Loads: map[string]coordinator.Load{"u": {InFlight: -1}}}.Check() != nil)
	is.NoErr(coordinator.Report{Node: "a", Loads: map[string]coordinator.Load{"u": {InFlight: 1}}}.Check())
}
