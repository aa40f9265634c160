package starter

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/holder"
	"gentianstep.example/gentianstep/internal/bundle/publisher"
	"gentianstep.example/gentianstep/internal/controlling/poller"
	"gentianstep.example/gentianstep/internal/controlling/watcher"
	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/peering/distributor"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/peering/subscriber"
	"gentianstep.example/gentianstep/internal/platform/dialer"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// Controller runs a controller until ctx ends.
func Controller(ctx context.Context, settings *configurer.Settings, log *logrus.Entry) error {
	bundles := holder.New(holder.Config{Verifier: settings.Verifier()})
	client := &http.Client{Transport: newTransport()}
	platform := dialer.New(dialer.Config{Address: settings.Platform.Address, Client: client})
	spread := distributor.New(distributor.Config{
		Hello:  hello(settings, messenger.Controller),
		Holder: bundles,
		Log:    log,
	})
	watch := watcher.New(watcher.Config{
		Store:  platform,
		Key:    publisher.HeadKey(settings.Deployment),
		Holder: bundles,
		Log:    log,
	})
	poll := poller.New(poller.Config{
		Holder:   bundles,
		Observer: observer.New(observer.Config{Client: client}),
		OnReports: func(reports []observer.Report) {
			spread.Broadcast(messenger.Message{Reports: &messenger.Reports{Reports: reports}})
		},
		Log: log,
	})
	peers, err := listen(ctx, "peers", settings.Controller.PeerAddress, peerHandler(spread))
	if err != nil {
		return err
	}
	operators, err := listen(ctx, "operators", settings.Controller.OperatorAddress, statusHandler(settings, bundles))
	if err != nil {
		return err
	}
	loops := []func(context.Context){watch.Run, spread.Run, poll.Run}
	for _, peer := range settings.Controller.Peers {
		loops = append(loops, subscriber.New(subscriber.Config{
			Hello:     hello(settings, messenger.Controller),
			Addresses: []netip.AddrPort{peer},
			Holder:    bundles,
			Client:    client,
			Log:       log,
		}).Run)
	}
	log.WithField("address", settings.Controller.PeerAddress).Info("controller started")
	return serve(ctx, []*server{peers, operators}, loops...)
}

func peerHandler(spread *distributor.Distributor) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(messenger.Path, spread)
	return mux
}
