package starter

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"gentianstep.example/gentianstep/internal/caching/listener"
	"gentianstep.example/gentianstep/internal/gateway/forwarder"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/peering/coordinator"
	"gentianstep.example/gentianstep/internal/peering/exchanger"
	"gentianstep.example/gentianstep/internal/placement/leaser"
)

// coordination returns the loops by which VMs share what they know of engines.
func (g *gateway) coordination() []func(context.Context) {
	return []func(context.Context){
		coordinator.NewSubscriber(coordinator.SubscriberConfig{
			Node:           g.settings.Load().Node,
			Hub:            g.hubAddress,
			Loads:          g.forward.Loads,
			DrainSentParts: g.forward.DrainSentParts,
			UrgentReports:  g.forward.UrgentReports(),
			View:           g.view,
			Client:         &http.Client{Transport: newPatientTransport()},
			Log:            g.log,
		}).Run,
		listener.New(listener.Config{
			Active:  g.isHub,
			Engines: g.cacheHolders,
			Source:  g.engines,
			Sink:    g.hub,
			Filter:  func(e listener.Event) bool { return forwarder.IsVersionedScope(e.Part.Scope) },
			Log:     g.log,
		}).Run,
	}
}

// leads reports whether this VM holds the lease for roll-outs.
func (g *gateway) leads() bool {
	_, held := g.lease.Holding(time.Now())
	return held
}

// isHub reports whether the other VMs turn to this one. While the store is away,
// the last VM that is known to have held the lease stays the hub: what it tells
// guides choices and orders nothing.
func (g *gateway) isHub() bool {
	if g.leads() {
		return true
	}
	node, ok := g.lastHolder()
	return ok && node == g.settings.Load().Node
}

// lastHolder returns the VM that holds the lease as far as is known.
func (g *gateway) lastHolder() (node string, ok bool) {
	entry, ok := g.inform.Entry(weightsKey)
	if !ok {
		return "", false
	}
	node, err := leaser.ParseHolder(entry.Value)
	if err != nil {
		return "", false
	}
	return node, true
}

// hubAddress returns the peer address of the VM that is the hub.
func (g *gateway) hubAddress() (netip.AddrPort, bool) {
	node, ok := g.lastHolder()
	if !ok {
		return netip.AddrPort{}, false
	}
	for _, vm := range g.vms() {
		if vm.Node == node {
			return vm.PeerAddress, true
		}
	}
	return netip.AddrPort{}, false
}

func (g *gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(exchanger.Path, g.exchange)
	mux.Handle(coordinator.Path, g.hub)
	return mux
}

// engineChanged tells the other VMs of an engine that changes its weights. What
// it held is void then.
func (g *gateway) engineChanged(u *registrar.Upstream, changing bool, weights map[string]uint64) {
	if changing {
		g.hub.Forget(u.ID)
	}
	g.hub.SetEngine(coordinator.Engine{Upstream: u.ID, StartedAt: u.StartedAt, ChangingWeights: changing, Weights: weights})
}

func (g *gateway) engineLoads() map[string]int {
	loads := make(map[string]int)
	for id, load := range g.hub.TotalLoads() {
		loads[id] = load.InFlight
	}
	return loads
}

// cacheHolders returns the engines and the stores of kept cache.
func (g *gateway) cacheHolders() []*registrar.Upstream {
	holders := g.inform.Engines()
	m := g.inform.Matcher()
	if m == nil {
		return holders
	}
	for _, s := range m.Configuration().Services {
		if s.CacheStore.IsValid() {
			holders = append(holders, &registrar.Upstream{
				ID:               s.CacheStore.String(),
				Service:          s.Name,
				Address:          s.CacheStore,
				AvailabilityZone: s.AvailabilityZone,
			})
		}
	}
	return holders
}
