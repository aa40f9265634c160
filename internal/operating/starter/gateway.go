package starter

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"gentianstep.example/gentianstep/internal/gateway/forwarder"
	"gentianstep.example/gentianstep/internal/membership/announcer"
	"gentianstep.example/gentianstep/internal/membership/follower"
	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/operating/limiter"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/peering/coordinator"
	"gentianstep.example/gentianstep/internal/peering/exchanger"
	"gentianstep.example/gentianstep/internal/placement/leaser"
	"gentianstep.example/gentianstep/internal/placement/upgrader"
	"gentianstep.example/gentianstep/internal/routing/picker"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

const (
	// upstreamIdleTimeout is how long an unused connection to an upstream is
	// kept. It is shorter than the idle timeouts that upstreams announce.
	upstreamIdleTimeout = 4 * time.Second
	// clientIdleTimeout is how long an unused connection of a client is kept. It
	// is longer than operators let clients stay idle.
	clientIdleTimeout = 90 * time.Second
	// balancerNotice is how long a stopping VM goes on accepting: two health
	// checks of the balancer, a second apart, and some way.
	balancerNotice = 2300 * time.Millisecond
	// stopMargin is what is left of the stop's grace for the end of the process.
	stopMargin = 700 * time.Millisecond
	// watchWait is how long one call to the store waits for a change; a store
	// that has gone silent is noticed after it.
	watchWait = 2 * time.Second
	// upstreamLooks is the number of looks at changed upstreams within the time
	// in which one that leaves has to be left alone. Their entries change several
	// times a second, and each look is paid for.
	upstreamLooks = 3
	// vmPace is the pause between two looks at the other VMs, which change only
	// when one comes or goes.
	vmPace = 200 * time.Millisecond
	// vmWait is how long a call waits for a change of the other VMs.
	vmWait = 20 * time.Second
	// countEvery is how often the VMs are counted, countKept how long the highest
	// count holds, so that a store that loses entries changes no share.
	countEvery = 500 * time.Millisecond
	countKept  = 15 * time.Second
	// clientShare is the part of a process's descriptors that connections of
	// clients may take; the rest is for upstreams, the store and other VMs.
	clientShare = 0.6
	// memoryShare is the part of the memory limit that the runtime may use.
	memoryShare = 0.7
	// collectorPercent is the growth of the heap between two collections.
	collectorPercent = 50
	// leaseTTL is the time to live of the lease for roll-outs.
	leaseTTL = 2 * time.Second
)

// Keys of the store that are the system's own.
const (
	ownPrefix  = "gentianstep/"
	vmPrefix   = ownPrefix + "vms/"
	weightsKey = ownPrefix + "weights"
)

// gateway is a VM's one process on a platform, with its parts.
type gateway struct {
	settings atomic.Pointer[configurer.VMSettings]
	// reloadError is the failure of the last reload, empty for none.
	reloadError string
	platform    Platform
	log         *logrus.Entry
	meter       *meter.Meter
	inform      *informer.Informer
	forward     *forwarder.Forwarder
	store       Store
	exchange    *exchanger.Exchanger
	lease       *leaser.Leaser
	hub         *coordinator.Hub
	view        *coordinator.View
	engines     Engines
	gate        gate
}

// Gateway serves clients on a platform's VM until ctx ends and its requests
// are done.
func Gateway(ctx context.Context, settings *configurer.VMSettings, p Platform, log *logrus.Entry) error {
	debug.SetGCPercent(collectorPercent)
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	}
	g := newGateway(settings, p, log)
	return g.run(ctx)
}

func newGateway(settings *configurer.VMSettings, p Platform, log *logrus.Entry) *gateway {
	g := &gateway{platform: p, log: log, meter: meter.New()}
	g.settings.Store(settings)
	g.store = p.NewStore(settings.Store.Address, &http.Client{Transport: newPatientTransport()})
	g.inform = informer.New(informer.Config{
		Codec:             p.Codec,
		OperatorPrefix:    p.OperatorPrefix,
		UpstreamPrefix:    p.UpstreamPrefix,
		VMPrefix:          ownPrefix,
		Started:           time.Now(),
		InitialWeightsAge: settings.Bounds.WeightsApply / 2,
		Log:               log,
	})
	g.engines = p.NewEngines(&http.Client{Transport: newPatientTransport()})
	g.view = coordinator.NewView()
	g.hub = coordinator.NewHub(coordinator.HubConfig{Active: g.isHub, Log: log})
	g.forward = forwarder.New(forwarder.Config{
		Dialect:   p.Dialect,
		Directory: g.inform,
		View:      g.view,
		Caller:    caller.New(caller.Config{Dial: newDialer().DialContext, IdleTimeout: upstreamIdleTimeout}),
		Picker: picker.Config{
			AvailabilityZone: settings.AvailabilityZone,
			Regions:          settings.Regions,
			Seed:             seedOf(settings.Node),
		},
		Budget:       budgetOf(settings),
		WeightsApply: settings.Bounds.WeightsApply,
		Meter:        g.meter,
		Log:          log,
	})
	g.exchange = exchanger.New(exchanger.Config{
		Replicas: g.inform,
		Peers:    g.peers,
		Client:   &http.Client{Transport: newPatientTransport()},
		Log:      log,
	})
	g.lease = leaser.New(leaser.Config{
		Store: g.store,
		Key:   weightsKey,
		Node:  settings.Node,
		Durations: func() (leaser.Durations, bool) {
			return leaser.Durations{TTL: max(leaseTTL, settings.Store.MinLeaseTTL), OrderTimeout: settings.Bounds.Lease}, true
		},
		HeldElsewhere: func() bool {
			_, taken := g.inform.Entry(weightsKey)
			return taken
		},
		Log: log,
	})
	return g
}

// loops returns what runs beside the servers.
func (g *gateway) loops() []func(context.Context) {
	settings := g.settings.Load()
	loops := []func(context.Context){
		g.inform.Run,
		g.exchange.Run,
		g.lease.Run,
		g.loopCount,
		g.loopReload,
		upgrader.New(upgrader.Config{
			Node:                settings.Node,
			Directory:           g.inform,
			Lease:               g.lease,
			Engines:             g.engines,
			OnLease:             g.hub.Reset,
			OnChange:            g.engineChanged,
			InFlight:            g.engineLoads,
			WeightsApply:        settings.Bounds.WeightsApply,
			EnginesCheckFencing: settings.Bounds.EnginesCheckFencing,
			Log:                 g.log,
		}).Run,
		announcer.New(announcer.Config{
			Store: g.store,
			Key:   vmPrefix + settings.Node,
			VM: announcer.VM{
				Node:             settings.Node,
				AvailabilityZone: settings.AvailabilityZone,
				PeerAddress:      settings.PeerAddress,
			},
			Log: g.log,
		}).Run,
	}
	followers := []follower.Config{
		{Prefix: g.platform.OperatorPrefix, Wait: watchWait},
		{Prefix: g.platform.UpstreamPrefix, Wait: watchWait, CoalesceInterval: settings.Bounds.Drain / upstreamLooks},
		{Prefix: ownPrefix, Wait: vmWait, CoalesceInterval: vmPace},
	}
	follows := make([]func(context.Context), 0, len(followers))
	for _, cfg := range followers {
		cfg.Feed, cfg.Sink = g.store, g.inform
		follows = append(follows, follower.New(cfg).Run)
	}
	return slices.Concat(loops, follows, g.coordination())
}

// run serves until ctx ends, then stops in order: the balancer is told, what
// still comes is answered, and open requests end.
func (g *gateway) run(ctx context.Context) error {
	settings := g.settings.Load()
	clients, err := g.listen(ctx, settings.ClientAddress, limiter.TrackRequests(g.forward))
	if err != nil {
		return err
	}
	clients.listener = limiter.NewListener(limiter.ListenerConfig{
		Listener: clients.listener,
		Name:     callersListener,
		Limit:    int(clientShare * float64(settings.MaxDescriptors)),
		Meter:    g.meter,
	})
	servers := []*http.Server{}
	group, work := errgroup.WithContext(context.WithoutCancel(ctx))
	work, stopWork := context.WithCancel(work)
	defer stopWork()
	serve := func(s *http.Server, l net.Listener) {
		servers = append(servers, s)
		group.Go(func() error {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("serve %s: %w", l.Addr(), err)
			}
			return nil
		})
	}
	serve(clients.server, clients.listener)
	others := []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{settings.ReadyAddress, http.HandlerFunc(g.serveReady)},
		{settings.PeerAddress, g.peerHandler()},
		{settings.MetricsAddress, g.meter},
	}
	for _, o := range others {
		s, err := g.listen(ctx, o.address, o.handler)
		if err != nil {
			return err
		}
		serve(s.server, s.listener)
	}
	for _, loop := range g.loops() {
		group.Go(func() error {
			loop(work)
			return nil
		})
	}
	g.log.WithFields(logrus.Fields{
		"event":             "started",
		"client_address":    settings.ClientAddress.String(),
		"availability_zone": settings.AvailabilityZone,
	}).Info("gateway started")
	group.Go(func() error {
		select {
		case <-ctx.Done():
			g.stop(clients.server)
		case <-work.Done():
		}
		stopWork()
		for _, s := range servers {
			_ = s.Close()
		}
		return nil
	})
	err = group.Wait()
	g.log.WithField("event", "stopped").Info("gateway stopped")
	return err
}
