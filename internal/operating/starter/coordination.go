package starter

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"gentianstep.example/gentianstep/internal/caching/listener"
	"gentianstep.example/gentianstep/internal/gateway/forwarder"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/peering/archivist"
	"gentianstep.example/gentianstep/internal/peering/coordinator"
	"gentianstep.example/gentianstep/internal/peering/exchanger"
	"gentianstep.example/gentianstep/internal/peering/relayer"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/routing/throttler"
)

// coordinationLoops returns the loops that exchange engine state between VMs.
func (g *gateway) coordinationLoops() []func(context.Context) {
	return []func(context.Context){
		g.hub.Run,
		archivist.New(archivist.Config{
			Store:   g.store,
			Key:     quarantinesKey,
			Stored:  func() (storer.Entry, bool) { return g.informer.Entry(quarantinesKey) },
			Changed: g.informer.Changed,
			Active:  g.holdsLease,
			Rows:    g.hub.Quarantines,
			Restore: g.isolator.Restore,
			Log:     g.log,
		}).Run,
		coordinator.NewSubscriber(coordinator.SubscriberConfig{
			Node:           g.settings.Load().Node,
			Hub:            g.hubAddress,
			Loads:          g.forwarder.Loads,
			DrainSentParts: g.forwarder.DrainSentParts,
			Departures:     g.noticer.Departures,
			OnDepartures:   g.noticer.RecordDepartures,
			Quarantines:    g.isolator,
			Limits:         g.noticer,
			Quotas:         g.rationer,
			DrainSpeeds:    g.forwarder.DrainSpeeds,
			UrgentReports:  g.forwarder.UrgentReports(),
			View:           g.view,
			Client:         g.newClient(),
			Log:            g.log,
		}).Run,
		listener.New(listener.Config{
			Active:  g.isHub,
			Engines: func() []*registrar.Upstream { return g.noticer.Open(g.cacheEventSources()) },
			Source:  g.engineClient,
			Sink:    g.hub,
			Filter:  func(e listener.Event) bool { return forwarder.IsVersionedScope(e.Part.Scope) },
			Log:     g.log,
		}).Run,
	}
}

// fleet returns the VMs of the deployment.
func (g *gateway) fleet() throttler.Fleet {
	vms := g.vms.load().vms
	nodes := make([]string, 0, len(vms))
	for _, vm := range vms {
		nodes = append(nodes, vm.Node)
	}
	return throttler.NewFleet(g.settings.Load().Node, nodes)
}

// holdsLease reports whether this VM holds the lease for weight roll-outs.
func (g *gateway) holdsLease() bool {
	_, held := g.leaser.Holding(time.Now())
	return held
}

// isHub reports whether this VM is the hub that the other VMs connect to. While
// the store is unavailable, the last known lease holder remains the hub. That is
// safe because the hub's data only influences the selection of upstreams and
// triggers no orders to engines.
func (g *gateway) isHub() bool {
	if g.holdsLease() {
		return true
	}
	return g.vms.load().leaseHolder == g.settings.Load().Node
}

// hubAddress returns the peer address of the hub. It returns false if no lease
// holder is known or its VM is not announced in the store.
func (g *gateway) hubAddress() (netip.AddrPort, bool) {
	vms := g.vms.load()
	vm, ok := vms.find(vms.leaseHolder)
	return vm.PeerAddress, ok
}

func (g *gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(exchanger.Path, g.exchanger)
	mux.Handle(coordinator.Path, g.hub)
	mux.Handle(relayer.Path, g.newRelayServer())
	return mux
}

// publishEngineState publishes to the other VMs whether an engine is changing
// its weights, and its current weight versions. A weight change invalidates the
// engine's cache, so its recorded contents are dropped.
func (g *gateway) publishEngineState(u *registrar.Upstream, changing bool, weights map[string]uint64) {
	if changing {
		g.hub.RemoveUpstream(u.ID)
	}
	g.hub.SetEngine(coordinator.Engine{Upstream: u.ID, StartedAt: u.StartedAt, ChangingWeights: changing, Weights: weights})
}

// inFlightByEngine returns the number of requests in flight from all VMs, by
// upstream ID.
func (g *gateway) inFlightByEngine() map[string]int {
	loads := make(map[string]int)
	for id, load := range g.hub.TotalLoads() {
		loads[id] = load.InFlight
	}
	return loads
}

// cacheEventSources returns the upstreams that report cache events: the engines
// and the external cache stores that are listed as services.
func (g *gateway) cacheEventSources() []*registrar.Upstream {
	sources := g.informer.Engines()
	m := g.informer.Matcher()
	if m == nil {
		return sources
	}
	for _, s := range m.Configuration().Services {
		if s.CacheStore.IsValid() {
			sources = append(sources, &registrar.Upstream{
				ID:               s.CacheStore.String(),
				Service:          s.Name,
				Address:          s.CacheStore,
				AvailabilityZone: s.AvailabilityZone,
			})
		}
	}
	return sources
}
