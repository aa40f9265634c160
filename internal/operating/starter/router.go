package starter

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"gentianstep.example/gentianstep/internal/bundle/holder"
	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/peering/subscriber"
	"gentianstep.example/gentianstep/internal/routing/selector"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
	"gentianstep.example/gentianstep/internal/serving/receiver"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// drainTimeout bounds the wait for open streams at a planned stop.
const drainTimeout = 10 * time.Minute

// Router runs a router until ctx ends and its streams are done.
func Router(ctx context.Context, settings *configurer.Settings, log *logrus.Entry) error {
	bundles := holder.New(holder.Config{Verifier: settings.Verifier()})
	calls := caller.New(caller.Config{Transport: newTransport()})
	choose := dispatcher.NewPolicyChooser(dispatcher.PolicyChooserConfig{
		Region:           settings.Region,
		AvailabilityZone: settings.AvailabilityZone,
		Policy:           &selector.RoundRobin{},
		Log:              log,
	})
	dispatch := dispatcher.New(dispatcher.Config{Caller: calls, Chooser: choose, Log: log})
	receive := receiver.New(receiver.Config{Holder: bundles, Dispatcher: dispatch, Log: log})
	handler, err := receive.Handler()
	if err != nil {
		return err
	}
	feed := subscriber.New(subscriber.Config{
		Hello:     hello(settings, messenger.Router),
		Addresses: controllers(settings),
		Holder:    bundles,
		OnReports: choose.Observe,
		Client:    &http.Client{Transport: newTransport()},
		Log:       log,
	})
	callers, err := listen(ctx, "callers", settings.Router.CallerAddress, handler)
	if err != nil {
		return err
	}
	operators, err := listen(ctx, "operators", settings.Router.OperatorAddress, statusHandler(settings, bundles))
	if err != nil {
		return err
	}
	log.WithField("address", settings.Router.CallerAddress).Info("router started")
	return serve(ctx, []*server{callers, operators}, feed.Run)
}

// serve runs servers and loops until ctx ends, then lets open requests finish.
func serve(ctx context.Context, servers []*server, loops ...func(context.Context)) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range servers {
		group.Go(s.run)
	}
	for _, loop := range loops {
		group.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	group.Go(func() error {
		<-ctx.Done()
		drain, cancel := context.WithTimeout(context.Background(), drainTimeout)
		defer cancel()
		for _, s := range servers {
			if err := s.http.Shutdown(drain); err != nil {
				return err
			}
		}
		return nil
	})
	return group.Wait()
}

func newTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

func hello(settings *configurer.Settings, role messenger.Role) messenger.Hello {
	return messenger.Hello{Deployment: settings.Deployment, Node: settings.Node, Role: role}
}

// controllers lists this VM's controller first, then the others.
func controllers(settings *configurer.Settings) []netip.AddrPort {
	return append([]netip.AddrPort{settings.Controller.PeerAddress}, settings.Controller.Peers...)
}
