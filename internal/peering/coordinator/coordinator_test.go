package coordinator_test

import (
	"context"
	"fmt"
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
	"gentianstep.example/gentianstep/internal/upstream/noticer"
)

// failoverTimeout is three report intervals: one until the change of the hub is
// noticed, one for the first report to the new hub, and one as a margin.
const failoverTimeout = 180 * time.Millisecond

var hubAddress = netip.MustParseAddrPort("10.0.0.1:7340")

// discardLog returns a log without output.
func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// vm is a subscriber with settable loads and sent parts.
type vm struct {
	view    *coordinator.View
	noticer *noticer.Noticer
	stop    context.CancelFunc

	mu    sync.Mutex
	loads map[string]coordinator.Load
	sent  []coordinator.CachedPart
}

// setLoad sets the load on upstream u.
func (v *vm) setLoad(load coordinator.Load) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.loads = map[string]coordinator.Load{"u": load}
}

func (v *vm) drainSent() []coordinator.CachedPart {
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
	v := &vm{view: coordinator.NewView(), noticer: newNoticer(), stop: stop}
	go coordinator.NewSubscriber(coordinator.SubscriberConfig{
		Node: node,
		Hub:  hub,
		Loads: func() map[string]coordinator.Load {
			v.mu.Lock()
			defer v.mu.Unlock()
			return v.loads
		},
		DrainSentParts: v.drainSent,
		Departures:     v.noticer.Departures,
		OnDepartures:   v.noticer.RecordDepartures,
		View:           v.view,
		Client:         &http.Client{Transport: transport},
		Log:            discardLog(),
	}).Run(ctx)
	t.Cleanup(transport.CloseIdleConnections)
	return v
}

// startHub runs a hub on a network of its own.
func startHub(t *testing.T, active func() bool) (*piper.Network, *coordinator.Hub) {
	t.Helper()
	network := piper.New()
	return network, serveHub(t, network, hubAddress, active)
}

// serveHub runs a hub at an address of a network.
func serveHub(t *testing.T, network *piper.Network, address netip.AddrPort, active func() bool) *coordinator.Hub {
	t.Helper()
	hub := coordinator.NewHub(coordinator.HubConfig{Active: active, Log: discardLog()})
	network.Serve(address.String(), hub)
	go hub.Run(t.Context())
	return hub
}

func alwaysActive() bool { return true }

func fixedHub() (netip.AddrPort, bool) { return hubAddress, true }

func TestHubDistributesLoadsEnginesAndParts(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var active atomic.Bool
		active.Store(true)
		network, hub := startHub(t, active.Load)
		a, b := startVM(t, network, "a", fixedHub), startVM(t, network, "b", fixedHub)
		time.Sleep(time.Second)
		// Loads: each VM receives only those of the other.
		a.setLoad(coordinator.Load{InFlight: 3, PromptTokens: 9000})
		time.Sleep(200 * time.Millisecond)
		is.Equal(b.view.OtherLoad(time.Now(), "u"), coordinator.Load{InFlight: 3, PromptTokens: 9000})
		is.Equal(a.view.OtherLoad(time.Now(), "u"), coordinator.Load{})
		is.Equal(hub.TotalLoads()["u"].InFlight, 3)
		// Engines that change their weights, identified by the start time in
		// milliseconds.
		u := &registrar.Upstream{ID: "u", StartedAt: time.UnixMilli(1_790_000_000_123), Weights: map[string]uint64{"m": 1}}
		hub.SetEngine(coordinator.Engine{Upstream: "u", StartedAt: u.StartedAt, ChangingWeights: true, Weights: map[string]uint64{"m": 1}})
		time.Sleep(100 * time.Millisecond)
		is.True(a.view.ChangingWeights(time.Now(), u))
		is.True(b.view.ChangingWeights(time.Now(), u))
		restarted := *u
		restarted.StartedAt = u.StartedAt.Add(time.Millisecond)
		is.True(!a.view.ChangingWeights(time.Now(), &restarted)) // a later run of the engine is not marked
		hub.SetEngine(coordinator.Engine{Upstream: "u", StartedAt: u.StartedAt, Weights: map[string]uint64{"m": 2}})
		time.Sleep(100 * time.Millisecond)
		is.True(!a.view.ChangingWeights(time.Now(), u))
		is.Equal(a.view.WeightsVersion(time.Now(), u, "m"), uint64(2))
		is.Equal(a.view.WeightsVersion(time.Now(), u, "other"), uint64(0))
		// Cached parts, including pending ones.
		part := cataloguer.Part{Scope: "@2", ID: "p"}
		a.mu.Lock()
		a.sent = []coordinator.CachedPart{{Upstream: "u", Scope: "@2", ID: "p", Tokens: 5000}}
		a.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		is.Equal(b.view.Holders(part), map[string]cataloguer.Holding{"u": {Tokens: 5000, Pending: true}})
		hub.SetCached("u", part, 4992)
		time.Sleep(100 * time.Millisecond)
		is.Equal(b.view.Holders(part), map[string]cataloguer.Holding{"u": {Tokens: 4992}})
		hub.RemoveUpstream("u")
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(b.view.Holders(part)), 0)
		// A hub that is no longer active closes the connections, and the loads that it
		// sent expire.
		active.Store(false)
		time.Sleep(3 * time.Second)
		is.Equal(b.view.OtherLoad(time.Now(), "u"), coordinator.Load{})
		a.stop()
		b.stop()
		network.Close()
	})
}

// TestHubMovesToAnotherVM makes another VM the hub. The loads of other VMs must be
// known again soon, since requests are routed without them until then.
func TestHubMovesToAnotherVM(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := piper.New()
		addresses := []netip.AddrPort{hubAddress, netip.MustParseAddrPort("10.0.0.2:7340")}
		var active atomic.Int64
		for n, address := range addresses {
			isActive := func() bool { return active.Load() == int64(n) }
			serveHub(t, network, address, isActive)
		}
		current := func() (netip.AddrPort, bool) { return addresses[active.Load()], true }
		a, b := startVM(t, network, "a", current), startVM(t, network, "b", current)
		a.setLoad(coordinator.Load{InFlight: 1})
		time.Sleep(time.Second)
		is.Equal(b.view.OtherLoad(time.Now(), "u").InFlight, 1)
		active.Store(1)
		a.setLoad(coordinator.Load{InFlight: 2})
		time.Sleep(failoverTimeout)
		is.Equal(b.view.OtherLoad(time.Now(), "u").InFlight, 2)
		a.stop()
		b.stop()
		network.Close()
	})
}

// TestHubReset resets a hub while the readers of cache events continue, as happens
// when its VM acquires the lease again after an outage of the store. The states of
// engines must be discarded and the cached parts kept.
func TestHubReset(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network, hub := startHub(t, alwaysActive)
		a := startVM(t, network, "a", fixedHub)
		part := cataloguer.Part{Scope: "@2", ID: "p"}
		u := &registrar.Upstream{ID: "u", StartedAt: time.UnixMilli(1_790_000_000_123), Weights: map[string]uint64{"m": 1}}
		hub.SetCached("u", part, 4992)
		hub.SetEngine(coordinator.Engine{Upstream: "u", StartedAt: u.StartedAt, ChangingWeights: true, Weights: u.Weights})
		time.Sleep(time.Second)
		is.True(a.view.ChangingWeights(time.Now(), u))
		hub.Reset()
		time.Sleep(100 * time.Millisecond)
		is.True(!a.view.ChangingWeights(time.Now(), u)) // the state from before the reset is discarded
		is.Equal(a.view.Holders(part), map[string]cataloguer.Holding{"u": {Tokens: 4992}})
		a.stop()
		network.Close()
	})
}

func TestPendingPartExpires(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network, _ := startHub(t, alwaysActive)
		a, b := startVM(t, network, "a", fixedHub), startVM(t, network, "b", fixedHub)
		a.mu.Lock()
		a.sent = []coordinator.CachedPart{{Upstream: "u", Scope: "@2", ID: "p", Tokens: 5000}}
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

func TestLoadsOfSilentVMExpire(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network, hub := startHub(t, alwaysActive)
		a := startVM(t, network, "a", fixedHub)
		a.setLoad(coordinator.Load{InFlight: 3})
		time.Sleep(time.Second)
		is.Equal(hub.TotalLoads()["u"].InFlight, 3)
		network.Lose(hubAddress.String(), true) // the reports no longer arrive
		time.Sleep(3 * time.Second)
		is.Equal(hub.TotalLoads()["u"].InFlight, 0)
		a.stop()
		network.Close()
	})
}

func TestReportCheck(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.True(coordinator.Report{}.Check() != nil)
	is.True(coordinator.Report{Node: "a", Number: 1, Loads: map[string]coordinator.Load{"u": {InFlight: -1}}}.Check() != nil)
	is.NoErr(coordinator.Report{Node: "a", Number: 1, Loads: map[string]coordinator.Load{"u": {InFlight: 1}}}.Check())
}

// TestHubStaysWithinItsShareOfTheLink has many VMs whose loads change all the time, with
// a hub on a narrow link, and then all of them connect anew. The messages of the hub must
// leave most of the link to its clients, and the VMs must know each other's loads.
func TestHubStaysWithinItsShareOfTheLink(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const linkBytesPerSecond, vms, upstreams = 1.25e6, 80, 90
		network := piper.New()
		hub := coordinator.NewHub(coordinator.HubConfig{
			Active:   alwaysActive,
			Capacity: coordinator.Capacity{LinkBytesPerSecond: linkBytesPerSecond, Processors: 0.2},
			Log:      discardLog(),
		})
		network.Serve(hubAddress.String(), hub)
		go hub.Run(t.Context())
		for u := range upstreams {
			hub.SetCached(fmt.Sprintf("upstream-%d", u), cataloguer.Part{Scope: "@1", ID: "p"}, 5000)
		}
		fleet := make([]*vm, 0, vms)
		for n := range vms {
			fleet = append(fleet, startVM(t, network, fmt.Sprintf("vm-%d", n), fixedHub))
		}
		change := func(seconds int) {
			for i := range seconds * 20 {
				for n, v := range fleet {
					v.mu.Lock()
					v.loads = map[string]coordinator.Load{fmt.Sprintf("upstream-%d", (i+n)%upstreams): {InFlight: 1 + i%3, PromptTokens: 100 * i}}
					v.mu.Unlock()
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
		change(5)
		before := network.BytesRead()
		change(10)
		is.True(float64(network.BytesRead()-before) <= 10*linkBytesPerSecond/4)
		network.Stop(hubAddress.String()) // all VMs connect anew
		network.Serve(hubAddress.String(), hub)
		before = network.BytesRead()
		change(4)
		is.True(float64(network.BytesRead()-before) <= 4*linkBytesPerSecond/2)
		fleet[0].setLoad(coordinator.Load{InFlight: 7})
		time.Sleep(3 * time.Second)
		for _, v := range fleet[1:] {
			is.Equal(v.view.OtherLoad(time.Now(), "u"), coordinator.Load{InFlight: 7})
		}
		is.Equal(fleet[0].view.OtherLoad(time.Now(), "u"), coordinator.Load{})
		network.Close()
	})
}

// TestStateCheck rejects rows whose names the receiver does not know.
func TestStateCheck(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	row := coordinator.State{Loads: []coordinator.UpstreamLoad{{Upstream: 2}}}
	is.NoErr(row.Check(3))
	is.True(row.Check(2) != nil)
	row.Full = true
	is.True(row.Check(3) != nil)
	is.True(coordinator.State{Cached: []coordinator.UpstreamPart{{Scope: -1}}}.Check(1) != nil)
	is.NoErr(coordinator.State{Full: true, Names: []string{"a", "b"}, Cached: []coordinator.UpstreamPart{{Upstream: 1}}}.Check(0))
}
