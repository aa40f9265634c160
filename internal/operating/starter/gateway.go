package starter

import (
	"context"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/gateway/forwarder"
	"gentianstep.example/gentianstep/internal/gateway/rationer"
	"gentianstep.example/gentianstep/internal/membership/announcer"
	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/membership/ranker"
	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/operating/reserver"
	"gentianstep.example/gentianstep/internal/operating/timekeeper"
	"gentianstep.example/gentianstep/internal/peering/coordinator"
	"gentianstep.example/gentianstep/internal/peering/exchanger"
	"gentianstep.example/gentianstep/internal/peering/relayer"
	"gentianstep.example/gentianstep/internal/placement/leaser"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/routing/picker"
	"gentianstep.example/gentianstep/internal/streaming/bounder"
	"gentianstep.example/gentianstep/internal/upstream/caller"
	"gentianstep.example/gentianstep/internal/upstream/isolator"
	"gentianstep.example/gentianstep/internal/upstream/noticer"
)

const (
	// upstreamIdleTimeout is the idle timeout of connections to upstreams. It is
	// shorter than the idle timeouts that upstreams announce, so that the gateway
	// closes a connection before the upstream does.
	upstreamIdleTimeout = 4 * time.Second
	// clientIdleTimeout is the idle timeout of connections from clients. It is
	// longer than the idle time that operators allow clients.
	clientIdleTimeout = 90 * time.Second
	// storeWatchTimeout is the long-poll timeout of a watch on the store. It also
	// limits how long an unresponsive store goes unnoticed.
	storeWatchTimeout = 2 * time.Second
	// upstreamReadsPerDrain is the number of reads of changed upstreams within the
	// drain limit, the longest time to stop using a leaving upstream. Reads are
	// coalesced because the entries change several times a second and each read has
	// a cost.
	upstreamReadsPerDrain = 3
	// vmCoalesceInterval is the pause between two reads of the other VMs' entries,
	// which change only when a VM joins or leaves.
	vmCoalesceInterval = 200 * time.Millisecond
	// crowdCoalesceInterval is that pause while a VM of a large region has no relay yet,
	// as at the start of all VMs, which join one after the other.
	crowdCoalesceInterval = time.Second
	// vmWatchTimeout is the long-poll timeout of a watch on the other VMs' entries.
	vmWatchTimeout = 20 * time.Second
	// vmCountInterval is the interval at which the VMs are counted, and vmCountTTL
	// is how long the highest count is retained, so that entries lost by the store
	// do not change each VM's share of the limits.
	vmCountInterval = 500 * time.Millisecond
	vmCountTTL      = 15 * time.Second
	// clientDescriptorShare is the fraction of the file descriptors available to
	// client connections. The rest is reserved for upstreams, the store and other
	// VMs.
	clientDescriptorShare = 0.6
	// responseMemoryShare is the fraction of the process's memory limit for the responses
	// of the store that are read at the same time, and again for those of engines.
	responseMemoryShare = 0.125
	// gcPercent is the GOGC value: the heap growth that triggers a collection.
	gcPercent = 50
	// leaseTTL is the time to live of the lease for weight roll-outs, unless the
	// store requires a longer one.
	leaseTTL = 2 * time.Second
)

// Keys and prefixes in the store that belong to this system.
const (
	systemPrefix    = "gentianstep/"
	vmPrefix        = systemPrefix + "vms/"
	weightsLeaseKey = systemPrefix + "weights"
	quarantinesKey  = systemPrefix + "quarantines"
)

// gateway holds the components of the single process that runs on each VM of a
// platform.
type gateway struct {
	settings atomic.Pointer[configurer.VMSettings]
	// reloadError is the error text of the last reload, or empty if it succeeded.
	reloadError  string
	platform     Platform
	dial         caller.DialFunc
	startedAt    time.Time
	log          *logrus.Entry
	meter        *meter.Meter
	informer     *informer.Informer
	vms          *vmDirectory
	forwarder    *forwarder.Forwarder
	store        Store
	exchanger    *exchanger.Exchanger
	relayClient  *relayer.Client
	leaser       *leaser.Leaser
	hub          *coordinator.Hub
	view         *coordinator.View
	noticer      *noticer.Noticer
	isolator     *isolator.Isolator
	memory       *reserver.Reserver
	rationer     *rationer.Rationer
	engineClient EngineClient
	stopping     atomic.Bool
}

// RunGateway serves clients on a VM of a platform until ctx is cancelled, then
// drains its open requests.
func RunGateway(ctx context.Context, settings *configurer.VMSettings, p Platform, log *logrus.Entry) error {
	debug.SetGCPercent(gcPercent)
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(softLimit(settings.MemoryBytes))
	}
	g := newGateway(gatewayConfig{
		Settings: settings,
		Platform: p,
		Dial:     newDialer().DialContext,
		Log:      log,
	})
	return g.run(ctx)
}

// gatewayConfig configures a gateway.
type gatewayConfig struct {
	Settings *configurer.VMSettings
	Platform Platform
	Dial     caller.DialFunc
	// SinceBoot reads the clock of the leaser, see leaser.Config.
	SinceBoot func() time.Duration
	Log       *logrus.Entry
}

func newGateway(cfg gatewayConfig) *gateway {
	settings, p, log := cfg.Settings, cfg.Platform, cfg.Log
	g := &gateway{platform: p, log: log, meter: meter.New(), dial: cfg.Dial, startedAt: time.Now()}
	g.settings.Store(settings)
	g.store = p.NewStore(settings.Store.Address, g.newClient(), responseBodies(settings))
	g.informer = informer.New(informer.Config{
		Codec:             p.Codec,
		OperatorPrefix:    p.OperatorPrefix,
		UpstreamPrefix:    p.UpstreamPrefix,
		VMPrefix:          systemPrefix,
		Started:           g.startedAt,
		InitialWeightsAge: settings.Bounds.WeightsApply / 2,
		Suspended:         timekeeper.Suspended,
		OnWeights:         func() { g.forwarder.CheckWaiting() },
		OnConfiguration:   func() { g.forwarder.CheckWaiting() },
		RetainPrefix:      vmPrefix,
		RetainFor:         announcer.RestoreTTL,
		OnRestore:         func(prefix string) { g.meter.Count(meter.StoreRestores, prefix, 1) },
		Log:               log,
	})
	g.vms = &vmDirectory{informer: g.informer, log: log}
	g.noticer = noticer.New(noticer.Config{Bounds: noticeBounds(settings), Meter: g.meter, Log: log})
	g.engineClient = p.NewEngineClient(g.newClient(), g.newUnpooledClient(), g.noticer, responseBodies(settings))
	g.view = coordinator.NewView()
	g.hub = coordinator.NewHub(coordinator.HubConfig{
		Active:   g.isHub,
		Fleet:    g.fleet,
		Quotas:   g.newQuotas(),
		Capacity: coordinator.Capacity{LinkBytesPerSecond: settings.LinkBytesPerSecond, Processors: settings.Processors},
		Log:      log,
	})
	calls := caller.New(caller.Config{Dial: g.dial, IdleTimeout: upstreamIdleTimeout, OnBroken: countBroken(g.meter)})
	g.isolator = isolator.New(isolator.Config{Node: settings.Node, IsRefused: calls.IsRefused, Meter: g.meter, Log: log})
	g.rationer = rationer.New(rationer.Config{
		Configuration: g.configuration,
		Bounds:        quotaBounds(settings),
		OnDemand:      func() { g.forwarder.RequestUrgentReport() },
		Meter:         g.meter,
	})
	g.memory = reserver.New(reserver.Config{Bytes: clientMemory(settings.MemoryBytes), Meter: g.meter, Log: log})
	g.forwarder = forwarder.New(forwarder.Config{
		Dialect:   p.Dialect,
		Directory: g.informer,
		View:      g.view,
		Noticer:   g.noticer,
		Isolator:  g.isolator,
		Rationer:  g.rationer,
		Caller:    calls,
		Picker: picker.Config{
			AvailabilityZone: settings.AvailabilityZone,
			Regions:          settings.Regions,
			Seed:             nodeSeed(settings.Node),
		},
		Budget:       g.retryBudget(settings),
		WeightsApply: settings.Bounds.WeightsApply,
		Memory:       g.memory,
		Meter:        g.meter,
		Log:          log,
	})
	g.exchanger = exchanger.New(exchanger.Config{
		Replicas: g.informer,
		Peers:    g.peerAddresses,
		Client:   g.newClient(),
		Log:      log,
	})
	g.relayClient = g.newRelayClient()
	g.leaser = leaser.New(leaser.Config{
		SinceBoot: cfg.SinceBoot,
		Store:     g.store,
		Key:       weightsLeaseKey,
		Node:      settings.Node,
		Durations: func() (leaser.Durations, bool) {
			return leaser.Durations{TTL: max(leaseTTL, settings.Store.MinLeaseTTL), OrderTimeout: settings.Bounds.Lease}, true
		},
		Held: func() (storer.Version, bool) {
			entry, held := g.informer.Entry(weightsLeaseKey)
			return entry.Version(), held
		},
		AcquireDelay: func() time.Duration { return ranker.AcquireDelay(ranker.Rank(g.ownVM(), g.vms.load().vms)) },
		Log:          log,
	})
	return g
}

// responseBodies returns a limit of the memory of responses.
func responseBodies(settings *configurer.VMSettings) *bounder.Bounder {
	return bounder.New(int64(responseMemoryShare * float64(settings.MemoryBytes)))
}
