package starter

import (
	"context"
	"hash/fnv"
	"net/http"
	"net/netip"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/holder"
	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/peering/connector"
	"gentianstep.example/gentianstep/internal/peering/inquirer"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/platform/dialer"
	"gentianstep.example/gentianstep/internal/serving/chooser"
	"gentianstep.example/gentianstep/internal/serving/claimer"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
	"gentianstep.example/gentianstep/internal/serving/receiver"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// router is a router with its parts.
type router struct {
	bundles  *holder.Holder
	feed     *connector.Connector
	inquire  *inquirer.Inquirer
	choose   *chooser.Chooser
	dispatch *dispatcher.Dispatcher
	receive  *receiver.Receiver
}

// Router runs a router until ctx ends and its streams are done.
func Router(ctx context.Context, settings *configurer.Settings, log *logrus.Entry) error {
	r := newRouter(settings, log)
	handler, err := r.receive.Handler()
	if err != nil {
		return err
	}
	callers, err := listen(ctx, "callers", settings.Router.CallerAddress, handler)
	if err != nil {
		return err
	}
	operators, err := listen(ctx, "operators", settings.Router.OperatorAddress, statusHandler(settings, r.bundles))
	if err != nil {
		return err
	}
	log.WithField("address", settings.Router.CallerAddress).Info("router started")
	return serve(ctx, []*server{callers, operators},
		r.feed.Run,
		(&bundleFeed{holder: r.bundles, take: r.choose.Bundle}).run,
	)
}

func newRouter(settings *configurer.Settings, log *logrus.Entry) *router {
	r := &router{}
	r.bundles = holder.New(holder.Config{Verifier: settings.Verifier()})
	r.feed = connector.New(connector.Config{
		Hello:     hello(settings, messenger.Router),
		Addresses: controllers(settings),
		Holder:    r.bundles,
		OnMessage: r.fromController,
		Client:    &http.Client{Transport: newTransport()},
		Log:       log,
	})
	r.inquire = inquirer.New(inquirer.Config{Send: r.feed.Send})
	r.choose = chooser.New(chooser.Config{
		Region:           settings.Region,
		AvailabilityZone: settings.AvailabilityZone,
		Index:            r.inquire,
		Seed:             seedOf(settings.Node),
		Log:              log,
	})
	r.dispatch = dispatcher.New(dispatcher.Config{
		Caller:  caller.New(caller.Config{}),
		Chooser: r.choose,
		Claims:  newClaimer(settings, log),
		Log:     log,
	})
	r.receive = receiver.New(receiver.Config{Holder: r.bundles, Dispatcher: r.dispatch, Log: log})
	return r
}

// newClaimer returns what claims idempotency keys in the platform's service.
func newClaimer(settings *configurer.Settings, log *logrus.Entry) *claimer.Claimer {
	store := dialer.New(dialer.Config{
		Address: settings.Platform.Address,
		Client:  &http.Client{Transport: newTransport()},
	})
	return claimer.New(claimer.Config{Store: store, Log: log})
}

// fromController takes a message of the controller.
func (r *router) fromController(m messenger.Message) {
	switch {
	case m.Reports != nil:
		r.choose.Reports(m.Reports.Reports)
	case m.LookupReply != nil:
		r.inquire.Reply(*m.LookupReply)
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

// controllers lists this VM's controller first, then the others.
func controllers(settings *configurer.Settings) []netip.AddrPort {
	return append([]netip.AddrPort{settings.Controller.PeerAddress}, otherControllers(settings)...)
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
