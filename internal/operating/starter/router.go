package starter

import (
	"context"
	"hash/fnv"
	"net/http"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/holder"
	"gentianstep.example/gentianstep/internal/membership/watcher"
	"gentianstep.example/gentianstep/internal/membership/withdrawer"
	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/operating/explainer"
	"gentianstep.example/gentianstep/internal/operating/limiter"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/peering/connector"
	"gentianstep.example/gentianstep/internal/peering/inquirer"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/serving/chooser"
	"gentianstep.example/gentianstep/internal/serving/claimer"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
	"gentianstep.example/gentianstep/internal/serving/gatekeeper"
	"gentianstep.example/gentianstep/internal/serving/rationer"
	"gentianstep.example/gentianstep/internal/serving/receiver"
)

// keptDecisions is the number of routing decisions that a router can explain.
const keptDecisions = 4096

// router is a router with its parts.
type router struct {
	bundles  *holder.Holder
	feed     *connector.Connector
	inquire  *inquirer.Inquirer
	withdraw *withdrawer.Withdrawer
	ration   *rationer.Rationer
	choose   *chooser.Chooser
	dispatch *dispatcher.Dispatcher
	receive  *receiver.Receiver
	gate     *gatekeeper.Gate
	// routers is the number of routers of the deployment.
	routers int
}

// Router runs a router until ctx ends and its streams are done.
func Router(ctx context.Context, settings *configurer.Settings, log *logrus.Entry) error {
	certificates, err := newCertifiers(settings, log)
	if err != nil {
		return err
	}
	m := meter.New()
	r, err := newRouter(settings, certificates, m, log)
	if err != nil {
		return err
	}
	handler, err := r.receive.Handler()
	if err != nil {
		return err
	}
	g := &gate{}
	decisions := explainer.New(explainer.Config{Size: keptDecisions})
	log.Logger.AddHook(meter.Hook{Meter: m})
	log.Logger.AddHook(decisions)
	callers, err := listen(ctx, serverConfig{
		name:           callersListener,
		address:        settings.Router.CallerAddress,
		handler:        callerHandler(settings, g, m, handler, log),
		maxConnections: settings.Router.MaxConnections,
		certifier:      certificates.callers,
		meter:          m,
		log:            log,
	})
	if err != nil {
		return err
	}
	o := &operators{settings: settings, bundles: r.bundles, gate: g, meter: m, decisions: decisions}
	operatorServer, err := o.listen(ctx, settings.Router.OperatorAddress, certificates.operators, log)
	if err != nil {
		return err
	}
	log.WithField("address", settings.Router.CallerAddress).Info("router started")
	l := lifecycle{
		gate:      g,
		front:     callers,
		operators: operatorServer,
		loops:     r.loops(),
		delay:     settings.Router.DrainDelay.Std(),
		timeout:   settings.Router.DrainTimeout.Std(),
		log:       log,
	}
	return l.run(ctx)
}

// callerHandler puts the limits and metrics of the callers' listener around
// the handler of requests.
func callerHandler(settings *configurer.Settings, g *gate, m *meter.Meter, next http.Handler, log *logrus.Entry) http.Handler {
	limited := limiter.NewHandler(limiter.HandlerConfig{
		Next:        next,
		BodyTimeout: settings.Router.BodyTimeout.Std(),
		Log:         log,
	})
	return m.Handler(g.handler(limited))
}

// loops returns what a router runs beside its servers.
func (r *router) loops() []func(context.Context) {
	return []func(context.Context){
		r.feed.Run,
		r.ration.Run,
		(&bundleFeed{holder: r.bundles, take: r.takeBundle}).run,
	}
}

func newRouter(settings *configurer.Settings, certificates certifiers, m *meter.Meter, log *logrus.Entry) (*router, error) {
	r := &router{routers: len(controllers(settings)), gate: newGate(log)}
	r.bundles = holder.New(holder.Config{Verifier: settings.Verifier()})
	r.feed = connector.New(connector.Config{
		Hello:     hello(settings, messenger.Router),
		Addresses: controllers(settings),
		Holder:    r.bundles,
		OnMessage: r.fromController,
		Client:    &http.Client{Transport: newTransport(certificates.processes)},
		Log:       log,
	})
	r.ration = rationer.New(rationer.Config{Node: settings.Node, Routers: r.routers, Send: r.feed.Send, Log: log})
	r.withdraw = withdrawer.New(withdrawer.Config{OnDepartures: r.departed, Log: log})
	r.inquire = inquirer.New(inquirer.Config{Send: r.feed.Send})
	choose, err := chooser.New(chooser.Config{
		Region:           settings.Region,
		AvailabilityZone: settings.AvailabilityZone,
		Index:            r.inquire,
		Departures:       r.withdraw,
		Routers:          r.routers,
		Seed:             seedOf(settings.Node),
		Log:              log,
	})
	if err != nil {
		return nil, err
	}
	r.choose = choose
	r.dispatch = dispatcher.New(dispatcher.Config{
		Caller:  newCaller(certificates.upstreams),
		Chooser: r.choose,
		Claims:  newClaimer(settings, certificates, log),
		Count:   func(o dispatcher.AnswerEvent, n int) { m.Count(meter.AnswerEvents, string(o), int64(n)) },
		Log:     log,
	})
	r.receive = receiver.New(receiver.Config{Holder: r.bundles, Dispatcher: r.dispatch, AdmissionQueue: r.gate, RateLimiter: r.ration, Log: log})
	return r, nil
}

// newClaimer returns what claims idempotency keys in the platform's service.
func newClaimer(settings *configurer.Settings, certificates certifiers, log *logrus.Entry) *claimer.Claimer {
	return claimer.New(claimer.Config{Store: newPlatform(settings, certificates), Log: log})
}

// departed tells the controller of upstreams that refused as they leave.
func (r *router) departed(list []watcher.Departure) { r.feed.Send(departuresMessage(list)) }

// fromController takes a message of the controller.
func (r *router) fromController(m messenger.Message) {
	switch {
	case m.Reports != nil:
		r.withdraw.HandleReports(time.Now(), m.Reports.Reports)
		r.choose.RecordReports(m.Reports.Reports)
	case m.UsageTotals != nil:
		r.ration.ObserveUsage(*m.UsageTotals)
	case m.Departures != nil:
		r.withdraw.ApplyDepartures(m.Departures.Departures)
	case m.LookupReply != nil:
		r.inquire.HandleReply(*m.LookupReply)
	}
}

// seedOf gives every node its own random choices.
func seedOf(node string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node))
	return h.Sum64()
}

func hello(settings *configurer.Settings, role messenger.Role) messenger.Hello {
	return messenger.Hello{
		Deployment: settings.Deployment,
		Node:       settings.Node,
		Role:       role,
		Region:     settings.Region,
	}
}

// controllers lists this VM's controller first, then the others. Each VM begins
// with another one of those, so that routers whose own controllers are away do
// not all turn to the same.
func controllers(settings *configurer.Settings) []netip.AddrPort {
	others := otherControllers(settings)
	addresses := []netip.AddrPort{settings.Controller.PeerAddress}
	if len(others) == 0 {
		return addresses
	}
	first := int(seedOf(settings.Node) % uint64(len(others)))
	addresses = append(addresses, others[first:]...)
	return append(addresses, others[:first]...)
}

// otherControllers lists the controllers of other VMs.
func otherControllers(settings *configurer.Settings) []netip.AddrPort {
	var others []netip.AddrPort
	for _, peer := range settings.Controller.Peers {
		if peer != settings.Controller.PeerAddress {
			others = append(others, peer)
		}
	}
	return others
}
