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
	"gentianstep.example/gentianstep/internal/upstream/observer"
	"gentianstep.example/gentianstep/internal/upstream/reader"
)

// control is a controller with its parts.
type control struct {
	settings    *configurer.Settings
	log         *logrus.Entry
	client      *http.Client
	store       *dialer.Dialer
	bundles     *holder.Holder
	spread      *distributor.Distributor
	peers       *connector.Group
	announce    *announcer.Announcer
	list        *lister.Lister
	depart      *departures
	collect     *collector.Collector
	coordinator *coordinator.Coordinator
	poll        *poller.Poller
	watch       *watcher.Watcher
	lease       *leaser.Leaser
	place       *placer.Placer
}

// Controller runs a controller until ctx ends.
func Controller(ctx context.Context, settings *configurer.Settings, log *logrus.Entry) error {
	certificates, err := newCertifiers(settings, log)
	if err != nil {
		return err
	}
	c := newControl(settings, certificates, log)
	g := &gate{}
	m := meter.New()
	log.Logger.AddHook(meter.Hook{Meter: m})
	peers, err := listen(ctx, serverConfig{
		name:           peersListener,
		address:        settings.Controller.PeerAddress,
		handler:        limited(c.peerHandler(), log),
		maxConnections: settings.Controller.MaxConnections,
		certifier:      certificates.processes,
		meter:          m,
		log:            log,
	})
	if err != nil {
		return err
	}
	o := &operators{settings: settings, bundles: c.bundles, gate: g, meter: m}
	operatorServer, err := o.listen(ctx, settings.Controller.OperatorAddress, certificates.operators, log)
	if err != nil {
		return err
	}
	log.WithField("address", settings.Controller.PeerAddress).Info("controller started")
	l := lifecycle{
		gate:      g,
		front:     peers,
		operators: operatorServer,
		loops:     c.loops(),
		leave:     c.announce.Leave,
		delay:     leaveDelay,
		timeout:   operatorsTimeout,
		log:       log,
	}
	return l.run(ctx)
}

// loops returns what a controller runs beside its servers.
func (c *control) loops() []func(context.Context) {
	return []func(context.Context){
		c.watch.Run,
		c.lease.Run,
		c.place.Run,
		c.spread.Run,
		c.coordinator.Run,
		c.poll.Run,
		c.runPeers,
		c.announce.Run,
		c.list.Run,
		c.depart.run,
		(&bundleFeed{holder: c.bundles, take: c.bundle}).run,
	}
}

func newControl(settings *configurer.Settings, certificates certifiers, log *logrus.Entry) *control {
	c := &control{settings: settings, log: log}
	c.client = &http.Client{Transport: newTransport(certificates.upstreams)}
	c.store = newPlatform(settings, certificates)
	c.bundles = holder.New(holder.Config{Verifier: settings.Verifier()})
	c.spread = distributor.New(distributor.Config{
		Hello:     hello(settings, messenger.Controller),
		Holder:    c.bundles,
		OnMessage: c.fromLink,
		Log:       log,
	})
	c.peers = connector.NewGroup(connector.GroupConfig{
		Connector: connector.Config{
			Hello:        hello(settings, messenger.Controller),
			Holder:       c.bundles,
			OnDisconnect: func(peer messenger.Hello) { c.coordinator.ScheduleResync(peer.Node) },
			OnMessage:    c.fromPeer,
			Client:       &http.Client{Transport: newTransport(certificates.processes)},
			Log:          log,
		},
	})
	c.coordinator = coordinator.New(coordinator.Config{
		Self:    coordinator.Member{Node: settings.Node, Region: settings.Region},
		Peers:   c.peers,
		Routers: c.spread,
		Readers: c,
		Log:     log,
	})
	c.poll = poller.New(poller.Config{
		Observer:  observer.New(observer.Config{Client: c.client}),
		OnReports: c.reports,
		Log:       log,
	})
	c.watch = watcher.New(watcher.Config{
		Store:      c.store,
		Deployment: settings.Deployment,
		Holder:     c.bundles,
		Log:        log,
	})
	c.newPlacement()
	c.newMembership()
	c.newDepartures()
	c.collect = collector.New(collector.Config{Self: settings.Node, SendPeer: c.peers.Send, SendRouter: c.spread.SendToRouter})
	return c
}

// Start implements coordinator.Readers.
func (c *control) Start(ctx context.Context, u checker.Upstream) {
	c.poll.Add(ctx, u)
	go reader.New(reader.Config{
		Upstream: u.Name,
		Address:  u.Address,
		Client:   c.client,
		OnEvent:  c.coordinator.ReceiveEvent,
		Log:      c.log,
	}).Run(ctx)
}

func (c *control) runPeers(ctx context.Context) {
	c.peers.Run(ctx, otherControllers(c.settings))
}

// fromLink takes a message of a router or controller that connected here.
func (c *control) fromLink(l *distributor.Link, m messenger.Message) {
	if m.UsageReport != nil && l.Peer.Role == messenger.Router {
		c.collect.HandleRouterUsage(time.Now(), l.Peer.Node, m.UsageReport.Usages)
		return
	}
	c.take(l.Peer.Role, m, l.Send)
}

// fromPeer takes a message on a connection that this controller opened.
func (c *control) fromPeer(m messenger.Message) {
	c.take(messenger.Controller, m, noAnswer)
}

// take hands a message to the part that it is for.
func (c *control) take(from messenger.Role, m messenger.Message, answer func(messenger.Message) bool) {
	switch {
	case m.Membership != nil:
		c.announce.ReceiveMessage(*m.Membership, answer)
		return
	case m.UsageReport != nil:
		c.collect.HandlePeerUsage(time.Now(), m.UsageReport.Usages, answer)
		return
	case m.UsageTotals != nil:
		c.collect.ForwardSums(*m.UsageTotals)
		return
	case m.Departures != nil:
		c.depart.message(from, *m.Departures)
		return
	case m.Reports != nil:
		c.place.RecordReports(m.Reports.Reports)
		c.depart.reports(m.Reports.Reports)
	}
	c.coordinator.ReceiveMessage(from, m, answer)
}

// bundle hands the bundle in force to those who work by it.
func (c *control) bundle(b *checker.Bundle) {
	c.depart.bundle(b)
	c.coordinator.SetBundle(b)
}

func (c *control) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(messenger.Path, c.spread)
	return mux
}
