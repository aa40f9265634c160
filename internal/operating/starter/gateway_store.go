package starter

import (
	"context"
	"net/netip"
	"time"

	"gentianstep.example/gentianstep/internal/membership/announcer"
	"gentianstep.example/gentianstep/internal/membership/follower"
	"gentianstep.example/gentianstep/internal/membership/ranker"
	"gentianstep.example/gentianstep/internal/peering/relayer"
)

const (
	// maxAgeShare is the age of a replica from which a VM that a relay supplies follows
	// the store itself, as a share of the time in which a change must take effect. A call
	// to the store, and a second one if the first gets no response, fit into the rest.
	maxAgeShare = 0.4
	// relayWaitShare is the long-poll timeout of a relay's watches as a share of that
	// age, and relayIntervalShare the time between two messages to its subscribers.
	relayWaitShare     = 0.6
	relayIntervalShare = 0.15
	// relayReadsPerDrain is the number of reads of changed upstreams that a relay makes
	// within the drain limit. Its subscribers learn of a change that much later.
	relayReadsPerDrain = 4
)

// share returns a share of a time.
func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

// newRelayClient returns the client that keeps this VM's replicas up to date through a
// relay.
func (g *gateway) newRelayClient() *relayer.Client {
	return relayer.NewClient(relayer.ClientConfig{
		Node: g.settings.Load().Node,
		Relays: func() []netip.AddrPort {
			relays, isRelay := g.relays()
			if isRelay {
				return nil
			}
			addresses := make([]netip.AddrPort, 0, len(relays))
			for _, vm := range relays {
				addresses = append(addresses, vm.PeerAddress)
			}
			return addresses
		},
		MaxAge: g.maxReplicaAge,
		Sink:   g.informer,
		Client: g.newClient(),
		Log:    g.log,
	})
}

// relays returns the relays of this VM's region and whether this VM is one of them.
func (g *gateway) relays() (relays []announcer.VM, isRelay bool) {
	vms := g.vms.load()
	return ranker.Relays(ranker.RelayQuery{Own: g.ownVM(), VMs: vms.vms, Regions: g.settings.Load().Regions, Hub: vms.leaseHolder})
}

// maxReplicaAge returns how long a replica may be used since the store last confirmed
// it.
func (g *gateway) maxReplicaAge(prefix string) time.Duration {
	bounds := g.settings.Load().Bounds
	if prefix == g.platform.UpstreamPrefix {
		return share(bounds.Drain, maxAgeShare)
	}
	return share(bounds.ConfigurationApply, maxAgeShare)
}

// followerLoops returns the loops that follow the store. They make no calls while a
// relay supplies this VM.
func (g *gateway) followerLoops() []func(context.Context) {
	drain := g.settings.Load().Bounds.Drain
	prefixes := []struct {
		prefix string
		// alone is the pace of a VM that follows the store for itself, relay that of
		// one that follows it for others, and crowd that of one that has a relay but
		// is not supplied by it. Without crowd, alone applies there too.
		alone, relay, crowd follower.Pace
	}{
		{
			prefix: g.platform.OperatorPrefix,
			alone:  follower.Pace{Wait: storeWatchTimeout},
			relay:  follower.Pace{Wait: share(g.maxReplicaAge(g.platform.OperatorPrefix), relayWaitShare)},
		},
		{
			prefix: g.platform.UpstreamPrefix,
			alone:  follower.Pace{Wait: storeWatchTimeout, CoalesceInterval: drain / upstreamReadsPerDrain},
			relay: follower.Pace{
				Wait:             share(g.maxReplicaAge(g.platform.UpstreamPrefix), relayWaitShare),
				CoalesceInterval: drain / relayReadsPerDrain,
			},
		},
		{
			prefix: systemPrefix,
			alone:  follower.Pace{Wait: vmWatchTimeout, CoalesceInterval: vmCoalesceInterval},
			crowd:  follower.Pace{Wait: vmWatchTimeout, CoalesceInterval: crowdCoalesceInterval},
			relay:  follower.Pace{Wait: vmWatchTimeout, CoalesceInterval: vmCoalesceInterval},
		},
	}
	loops := make([]func(context.Context), 0, len(prefixes))
	for _, p := range prefixes {
		loops = append(loops, follower.New(follower.Config{
			Feed:   g.store,
			Prefix: p.prefix,
			Sink:   g.informer,
			Pace: func() follower.Pace {
				switch relays, isRelay := g.relays(); {
				case isRelay:
					return p.relay
				case len(relays) > 0 && p.crowd != (follower.Pace{}):
					return p.crowd
				}
				return p.alone
			},
			SuppliedUntil: func() time.Time { return g.relayClient.SuppliedUntil(p.prefix) },
		}).Run)
	}
	return loops
}

// newRelayServer returns the server for the VMs that this VM supplies.
func (g *gateway) newRelayServer() *relayer.Server {
	return relayer.NewServer(relayer.ServerConfig{
		Source:   g.informer,
		Interval: share(g.maxReplicaAge(g.platform.OperatorPrefix), relayIntervalShare),
		Log:      g.log,
	})
}
