package starter

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/bundle/holder"
	"gentianstep.example/gentianstep/internal/controlling/announcer"
	"gentianstep.example/gentianstep/internal/controlling/collector"
	"gentianstep.example/gentianstep/internal/controlling/coordinator"
	"gentianstep.example/gentianstep/internal/controlling/lister"
	"gentianstep.example/gentianstep/internal/controlling/poller"
	"gentianstep.example/gentianstep/internal/controlling/watcher"
	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/peering/connector"
	"gentianstep.example/gentianstep/internal/peering/distributor"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/placement/leaser"
	"gentianstep.example/gentianstep/internal/placement/placer"
	"gentianstep.example/gentianstep/internal/platform/dialer"
	"gentianstep.example/gentianstep/internal/upstream/noticer"
	"gentianstep.example/gentianstep/internal/upstream/observer"
	"gentianstep.example/gentianstep/internal/upstream/reader"
)

// control holds the components of a controller.
type control struct {
	settings    *configurer.Settings
	log         *logrus.Entry
	client      *http.Client
	orders      *http.Client
	processes   *noticer.Processes
	store       *dialer.Dialer
	bundles     *holder.Holder
	distributor *distributor.Distributor
	peers       *connector.Group
	announcer   *announcer.Announcer
	lister      *lister.Lister
	departures  *departures
	collector   *collector.Collector
	coordinator *coordinator.Coordinator
	poller      *poller.Poller
	watcher     *watcher.Watcher
	leaser      *leaser.Leaser
	placer      *placer.Placer
}

// RunController runs a controller until ctx is cancelled.
func RunController(ctx context.Context, settings *configurer.Settings, log *logrus.Entry) error {
	certificates, err := newCertifiers(settings, log)
	if err != nil {
		return err
	}
	d := newDrainState()
	m := meter.New()
	c := newControl(settings, certificates, m, log)
	log.Logger.AddHook(meter.Hook{Meter: m})
	peers, err := listen(ctx, serverConfig{
		name:           peersListener,
		address:        settings.Controller.PeerAddress,
		handler:        withLimits(c.peerHandler(), log),
		maxConnections: settings.Controller.MaxConnections,
		certifier:      certificates.processes,
		meter:          m,
		log:            log,
	})
	if err != nil {
		return err
	}
	o := &operators{settings: settings, bundles: c.bundles, drain: d, meter: m}
	operatorServer, err := o.listen(ctx, settings.Controller.OperatorAddress, certificates.operators, log)
	if err != nil {
		return err
	}
	log.WithField("address", settings.Controller.PeerAddress).Info("controller started")
	l := lifecycle{
		drain:         d,
		primary:       peers,
		operators:     operatorServer,
		loops:         c.loops(),
		announceLeave: c.announcer.Leave,
		drainDelay:    leavePropagationDelay,
		drainTimeout:  operatorShutdownTimeout,
		log:           log,
	}
	return l.run(ctx)
}

// loops returns the background loops of a controller.
func (c *control) loops() []func(context.Context) {
	return []func(context.Context){
		c.watcher.Run,
		c.leaser.Run,
		c.placer.Run,
		c.distributor.Run,
		c.coordinator.Run,
		c.poller.Run,
		c.runPeers,
		c.announcer.Run,
		c.lister.Run,
		c.departures.run,
		(&bundleSubscription{holder: c.bundles, apply: c.applyBundle}).run,
	}
}

func newControl(settings *configurer.Settings, certificates certifiers, m *meter.Meter, log *logrus.Entry) *control {
	c := &control{settings: settings, log: log}
	c.processes = newProcesses(m, c.handleLeaving, log)
	transport := newTransport(certificates.upstreams)
	c.client = &http.Client{Transport: &noticer.Transport{Processes: c.processes, Base: transport}}
	c.orders = newOrderClient(certificates.upstreams, c.processes)
	probes := &http.Client{Transport: &noticer.Transport{Processes: c.processes, Base: transport, Probes: true}}
	c.store = newPlatform(settings, certificates)
	c.bundles = holder.New(holder.Config{Verifier: settings.Verifier()})
	c.distributor = distributor.New(distributor.Config{
		Hello:     newHello(settings, messenger.Controller),
		Holder:    c.bundles,
		OnMessage: c.handleLinkMessage,
		Log:       log,
	})
	c.peers = connector.NewGroup(connector.GroupConfig{
		Connector: connector.Config{
			Hello:        newHello(settings, messenger.Controller),
			Holder:       c.bundles,
			OnDisconnect: func(peer messenger.Hello) { c.coordinator.ScheduleResync(peer.Node) },
			OnMessage:    c.handlePeerMessage,
			Client:       &http.Client{Transport: newTransport(certificates.processes)},
			Log:          log,
		},
	})
	c.coordinator = coordinator.New(coordinator.Config{
		Self:    coordinator.Member{Node: settings.Node, Region: settings.Region},
		Peers:   c.peers,
		Routers: c.distributor,
		Readers: c,
		Log:     log,
	})
	c.poller = poller.New(poller.Config{
		Observer:  observer.New(observer.Config{Client: probes}),
		OnReports: c.handleReports,
		Log:       log,
	})
	c.watcher = watcher.New(watcher.Config{
		Store:      c.store,
		Deployment: settings.Deployment,
		Holder:     c.bundles,
		Log:        log,
	})
	c.newPlacement()
	c.newMembership()
	c.newDepartures()
	c.collector = collector.New(collector.Config{Self: settings.Node, SendPeer: c.peers.Send, SendRouter: c.distributor.SendToRouter})
	return c
}

// Start implements coordinator.Readers. It starts polling an upstream and
// reading its events until ctx is cancelled.
func (c *control) Start(ctx context.Context, u checker.Upstream) {
	c.poller.Add(ctx, u)
	go reader.New(reader.Config{
		Upstream: u.Name,
		Address:  u.Address,
		Client:   c.client,
		OnEvent:  c.coordinator.ReceiveEvent,
		Log:      c.log,
	}).Run(ctx)
}

func (c *control) runPeers(ctx context.Context) {
	c.peers.Run(ctx, otherControllerAddresses(c.settings))
}

// handleLinkMessage handles a message on an inbound connection, from a router or
// another controller.
func (c *control) handleLinkMessage(l *distributor.Link, m messenger.Message) {
	if m.UsageReport != nil && l.Peer.Role == messenger.Router {
		c.collector.HandleRouterUsage(time.Now(), l.Peer.Node, m.UsageReport.Usages)
		return
	}
	c.dispatchMessage(l.Peer.Role, m, l.Send)
}

// handlePeerMessage handles a message on an outbound connection to another
// controller.
func (c *control) handlePeerMessage(m messenger.Message) {
	c.dispatchMessage(messenger.Controller, m, discardReply)
}

// dispatchMessage passes a message to the component that handles its type.
// Reports and all types without a case go to the coordinator.
func (c *control) dispatchMessage(from messenger.Role, m messenger.Message, reply func(messenger.Message) bool) {
	switch {
	case m.Membership != nil:
		c.announcer.ReceiveMessage(*m.Membership, reply)
		return
	case m.UsageReport != nil:
		c.collector.HandlePeerUsage(time.Now(), m.UsageReport.Usages, reply)
		return
	case m.UsageTotals != nil:
		c.collector.ForwardSums(*m.UsageTotals)
		return
	case m.Departures != nil:
		c.departures.handleMessage(from, *m.Departures)
		return
	case m.Reports != nil:
		c.placer.RecordReports(m.Reports.Reports)
		c.departures.handleReports(m.Reports.Reports)
	}
	c.coordinator.ReceiveMessage(from, m, reply)
}

// applyBundle updates the components that depend on the bundle in force.
func (c *control) applyBundle(b *checker.Bundle) {
	c.processes.SetUpstreams(b.Upstreams)
	c.departures.setBundle(b)
	c.coordinator.SetBundle(b)
}

func (c *control) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(messenger.Path, c.distributor)
	return mux
}
