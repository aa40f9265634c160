package starter

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"gentianstep.example/gentianstep/internal/membership/announcer"
	"gentianstep.example/gentianstep/internal/operating/limiter"
	"gentianstep.example/gentianstep/internal/placement/upgrader"
	"gentianstep.example/gentianstep/internal/upstream/verifier"
)

// loops returns the background loops of the gateway.
func (g *gateway) loops() []func(context.Context) {
	settings := g.settings.Load()
	loops := []func(context.Context){
		g.forwarder.Run,
		g.runVMCount,
		g.runReload,
		upgrader.New(upgrader.Config{
			Node:                settings.Node,
			Directory:           engineDirectory{g.informer, g.noticer},
			Lease:               g.leaser,
			Engines:             g.engineClient,
			OnLease:             g.hub.Reset,
			OnChange:            g.publishEngineState,
			InFlight:            g.inFlightByEngine,
			WeightsApply:        settings.Bounds.WeightsApply,
			EnginesCheckFencing: settings.Bounds.EnginesCheckFencing,
			Log:                 g.log,
		}).Run,
		verifier.New(verifier.Config{
			Directory: g.informer,
			Noticer:   g.noticer,
			Checker:   g.platform.NewHealthClient(g.newUnpooledClient(), g.noticer, g.healthPath),
			Log:       g.log,
		}).Run,
	}
	return slices.Concat(loops, g.storeLoops(), g.coordinationLoops())
}

// storeLoops returns the loops that keep the replicas of the store, the entry and the
// lease of this VM up to date.
func (g *gateway) storeLoops() []func(context.Context) {
	return append([]func(context.Context){
		g.informer.Run,
		g.exchanger.Run,
		g.leaser.Run,
		g.relayClient.Run,
		announcer.New(announcer.Config{
			Store: g.store,
			Key:   vmPrefix + g.settings.Load().Node,
			VM:    g.ownVM(),
			Spread: func() time.Duration {
				return announcer.Spread(len(g.vms.load().vms), g.settings.Load().Store.WritesPerSecond)
			},
			Log: g.log,
		}).Run,
	}, g.followerLoops()...)
}

// run serves until ctx is cancelled, then shuts down in stages: it fails the
// readiness check, serves new requests until the balancer stops sending them,
// and waits for open requests. The background loops run until the end.
func (g *gateway) run(ctx context.Context) error {
	settings := g.settings.Load()
	clients, err := g.listenForClients(ctx, settings.ClientAddress, limiter.TrackRequests(g.forwarder))
	if err != nil {
		return err
	}
	clientListener := limiter.NewListener(limiter.ListenerConfig{
		Listener: clients.listener,
		Name:     callersListener,
		Limit:    int(clientDescriptorShare * float64(settings.MaxDescriptors)),
		Memory:   g.memory,
		Meter:    g.meter,
	})
	servers := []*http.Server{}
	group, work := errgroup.WithContext(context.WithoutCancel(ctx))
	work, stopWork := context.WithCancel(work)
	defer stopWork()
	serve := func(s *http.Server, l net.Listener) {
		servers = append(servers, s)
		group.Go(func() error {
			if err := s.Serve(l); !isClosed(err) {
				return fmt.Errorf("serve %s: %w", l.Addr(), err)
			}
			return nil
		})
	}
	serve(clients.server, clientListener)
	internalServers := []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{settings.ReadyAddress, http.HandlerFunc(g.serveReady)},
		{settings.PeerAddress, g.peerHandler()},
		{settings.MetricsAddress, g.meter},
	}
	for _, o := range internalServers {
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
			g.stop(clientListener)
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
