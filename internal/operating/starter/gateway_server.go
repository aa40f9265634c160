package starter

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"gentianstep.example/gentianstep/internal/operating/limiter"
)

// stop fails the readiness check, accepts requests until the balancer has
// noticed, then waits for open requests until the stop grace period is nearly
// over.
func (g *gateway) stop(clients *limiter.Listener) {
	deadline := time.Now().Add(g.settings.Load().Bounds.StopGrace - exitMargin)
	g.drain.stopping.Store(true)
	g.forwarder.Stop()
	g.log.WithField("event", "stopping").Info("gateway is stopping")
	time.Sleep(balancerDrainDelay)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := clients.Drain(ctx); err != nil {
		g.log.WithError(err).WithField("event", "requests_cut").Warn("closing open requests: stop grace period is over")
	}
}

type httpListener struct {
	server   *http.Server
	listener net.Listener
}

func (g *gateway) listen(ctx context.Context, address netip.AddrPort, handler http.Handler) (httpListener, error) {
	l, err := (&net.ListenConfig{KeepAliveConfig: newDialer().KeepAliveConfig}).Listen(ctx, "tcp", address.String())
	if err != nil {
		return httpListener{}, fmt.Errorf("listen on %s: %w", address, err)
	}
	return httpListener{listener: l, server: newHTTPServer(handler, clientIdleTimeout, address.String(), g.log)}, nil
}

// serveReady handles the balancer's readiness check.
func (g *gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != g.platform.ReadyPath {
		http.NotFound(w, r)
		return
	}
	if g.drain.stopping.Load() || !g.informer.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
