package starter

import (
	"context"
	"hash/fnv"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/holder"
	"gentianstep.example/gentianstep/internal/membership/watcher"
	"gentianstep.example/gentianstep/internal/membership/withdrawer"
	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/operating/explainer"
	"gentianstep.example/gentianstep/internal/operating/limiter"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/operating/reserver"
	"gentianstep.example/gentianstep/internal/peering/connector"
	"gentianstep.example/gentianstep/internal/peering/inquirer"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/routing/throttler"
	"gentianstep.example/gentianstep/internal/serving/chooser"
	"gentianstep.example/gentianstep/internal/serving/claimer"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
	"gentianstep.example/gentianstep/internal/serving/gatekeeper"
	"gentianstep.example/gentianstep/internal/serving/rationer"
	"gentianstep.example/gentianstep/internal/serving/receiver"
	"gentianstep.example/gentianstep/internal/upstream/isolator"
	"gentianstep.example/gentianstep/internal/upstream/noticer"
)

// maxDecisions is the number of recent routing decisions that a router keeps for
// GET /explain.
const maxDecisions = 4096

// router holds the components of a router.
type router struct {
	bundles    *holder.Holder
	connector  *connector.Connector
	inquirer   *inquirer.Inquirer
	withdrawer *withdrawer.Withdrawer
	processes  *noticer.Processes
	rationer   *rationer.Rationer
	chooser    *chooser.Chooser
	dispatcher *dispatcher.Dispatcher
	receiver   *receiver.Receiver
	admission  *gatekeeper.Gate
	// memory is the budget of the bytes that are held for callers.
	memory *reserver.Reserver
	// node is the name of this router's VM.
	node string
	// routers is the number of routers in the deployment.
	routers int
}

// RunRouter runs a router until ctx is cancelled, then drains its open streams.
func RunRouter(ctx context.Context, settings *configurer.Settings, log *logrus.Entry) error {
	certificates, err := newCertifiers(settings, log)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(softLimit(routerMemory(settings)))
	m := meter.New()
	r, err := newRouter(settings, certificates, m, log)
	if err != nil {
		return err
	}
	handler, err := r.receiver.Handler()
	if err != nil {
		return err
	}
	d := newDrainState()
	decisions := explainer.New(explainer.Config{Size: maxDecisions})
	log.Logger.AddHook(meter.Hook{Meter: m})
	log.Logger.AddHook(decisions)
	callers, err := listen(ctx, serverConfig{
		name:           callersListener,
		address:        settings.Router.CallerAddress,
		handler:        callerHandler(settings, d, m, handler, log),
		maxConnections: settings.Router.MaxConnections,
		memory:         r.memory,
		certifier:      certificates.callers,
		meter:          m,
		log:            log,
	})
	if err != nil {
		return err
	}
	o := &operators{settings: settings, bundles: r.bundles, drain: d, meter: m, decisions: decisions}
	operatorServer, err := o.listen(ctx, settings.Router.OperatorAddress, certificates.operators, log)
	if err != nil {
		return err
	}
	log.WithField("address", settings.Router.CallerAddress).Info("router started")
	l := lifecycle{
		drain:        d,
		primary:      callers,
		operators:    operatorServer,
		loops:        r.loops(),
		drainDelay:   settings.Router.DrainDelay.Std(),
		drainTimeout: settings.Router.DrainTimeout.Std(),
		log:          log,
	}
	return l.run(ctx)
}

// callerHandler wraps next with the limits and metrics of the callers' listener.
func callerHandler(settings *configurer.Settings, d *drainState, m *meter.Meter, next http.Handler, log *logrus.Entry) http.Handler {
	limited := limiter.NewHandler(limiter.HandlerConfig{
		Next:        next,
		BodyTimeout: settings.Router.BodyTimeout.Std(),
		Log:         log,
	})
	return m.Handler(d.middleware(limited))
}

// loops returns the background loops of a router.
func (r *router) loops() []func(context.Context) {
	return []func(context.Context){
		r.connector.Run,
		r.rationer.Run,
		(&bundleSubscription{holder: r.bundles, apply: r.applyBundle}).run,
	}
}

func newRouter(settings *configurer.Settings, certificates certifiers, m *meter.Meter, log *logrus.Entry) (*router, error) {
	r := &router{node: settings.Node, routers: len(controllerAddresses(settings)), admission: newAdmissionGate(log)}
	r.bundles = holder.New(holder.Config{Verifier: settings.Verifier()})
	r.connector = connector.New(connector.Config{
		Hello:     newHello(settings, messenger.Router),
		Addresses: controllerAddresses(settings),
		Holder:    r.bundles,
		OnMessage: r.handleControllerMessage,
		Client:    &http.Client{Transport: newTransport(certificates.processes)},
		Log:       log,
	})
	r.rationer = rationer.New(rationer.Config{Node: settings.Node, Routers: r.routers, Send: r.connector.Send, Log: log})
	r.withdrawer = withdrawer.New(withdrawer.Config{OnDepartures: r.sendDepartures, Log: log})
	r.processes = newProcesses(m, r.withdrawer.HandleLeavingRefusal, log)
	r.processes.SetFleet(throttler.NewUnnamedFleet(settings.Node, r.routers))
	r.inquirer = inquirer.New(inquirer.Config{Send: r.connector.Send})
	upstreamChooser, err := chooser.New(chooser.Config{
		Region:           settings.Region,
		AvailabilityZone: settings.AvailabilityZone,
		Index:            r.inquirer,
		Departures:       r.withdrawer,
		Notices:          r.processes,
		Routers:          r.routers,
		Seed:             nodeSeed(settings.Node),
		Log:              log,
	})
	if err != nil {
		return nil, err
	}
	r.chooser = upstreamChooser
	calls := newCaller(certificates.upstreams, r.processes, m)
	r.dispatcher = dispatcher.New(dispatcher.Config{
		Caller:   calls,
		Chooser:  r.chooser,
		Claims:   newClaimer(settings, certificates, log),
		Isolator: isolator.New(isolator.Config{Node: settings.Node, IsRefused: calls.IsRefused, Meter: m, Log: log}),
		Count:    func(o dispatcher.AnswerEvent, n int) { m.Count(meter.AnswerEvents, string(o), int64(n)) },
		Log:      log,
	})
	r.memory = newRouterReserver(settings, m, log)
	r.receiver = receiver.New(receiver.Config{Holder: r.bundles, Dispatcher: r.dispatcher, AdmissionQueue: r.admission, RateLimiter: r.rationer, Memory: r.memory, Log: log})
	return r, nil
}

// newClaimer returns a claimer of idempotency keys in the platform's store.
func newClaimer(settings *configurer.Settings, certificates certifiers, log *logrus.Entry) *claimer.Claimer {
	return claimer.New(claimer.Config{Store: newPlatform(settings, certificates), Log: log})
}

// sendDepartures sends the controller the upstreams that refused a request
// because they are leaving.
func (r *router) sendDepartures(list []watcher.Departure) {
	r.connector.Send(newDeparturesMessage(list))
}

// handleControllerMessage passes a message from the controller to the component
// that handles its type.
func (r *router) handleControllerMessage(m messenger.Message) {
	switch {
	case m.Reports != nil:
		r.processes.RecordReports(m.Reports.Reports)
		r.withdrawer.HandleReports(time.Now(), m.Reports.Reports)
		r.chooser.RecordReports(m.Reports.Reports)
	case m.UsageTotals != nil:
		r.rationer.ObserveUsage(*m.UsageTotals)
		if m.UsageTotals.LiveRouters > 0 {
			r.processes.SetFleet(throttler.NewFleet(r.node, append(m.UsageTotals.Nodes, r.node)))
		}
	case m.Departures != nil:
		r.withdrawer.ApplyDepartures(m.Departures.Departures)
	case m.LookupReply != nil:
		r.inquirer.HandleReply(*m.LookupReply)
	}
}

// nodeSeed derives a random seed from a node name, so that nodes make different
// random choices.
func nodeSeed(node string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node))
	return h.Sum64()
}

func newHello(settings *configurer.Settings, role messenger.Role) messenger.Hello {
	return messenger.Hello{
		Deployment: settings.Deployment,
		Node:       settings.Node,
		Role:       role,
		Region:     settings.Region,
	}
}

// controllerAddresses returns the address of this VM's controller, followed by
// the others. The others are rotated by a hash of the node name, so that routers
// whose own controllers are down do not all fail over to the same one.
func controllerAddresses(settings *configurer.Settings) []netip.AddrPort {
	others := otherControllerAddresses(settings)
	addresses := []netip.AddrPort{settings.Controller.PeerAddress}
	if len(others) == 0 {
		return addresses
	}
	first := int(nodeSeed(settings.Node) % uint64(len(others)))
	addresses = append(addresses, others[first:]...)
	return append(addresses, others[:first]...)
}

// otherControllerAddresses returns the controller addresses of the other VMs.
func otherControllerAddresses(settings *configurer.Settings) []netip.AddrPort {
	var others []netip.AddrPort
	for _, peer := range settings.Controller.Peers {
		if peer != settings.Controller.PeerAddress {
			others = append(others, peer)
		}
	}
	return others
}
