package starter

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// stop lets the balancer go, then waits for open requests.
func (g *gateway) stop(clients *http.Server) {
	deadline := time.Now().Add(g.settings.Load().Bounds.StopGrace - stopMargin)
	g.gate.stopping.Store(true)
	g.forward.Stop()
	g.log.WithField("event", "stopping").Info("gateway stops")
	time.Sleep(balancerNotice)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := clients.Shutdown(ctx); err != nil {
		g.log.WithError(err).WithField("event", "requests_cut").Warn("requests were still open at the end of the grace")
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

// serveReady answers the balancer.
func (g *gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != g.platform.ReadyPath {
		http.NotFound(w, r)
		return
	}
	if g.gate.stopping.Load() || !g.inform.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
