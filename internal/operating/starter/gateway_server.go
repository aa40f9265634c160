package starter

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/operating/limiter"
)

// stop fails the readiness check, accepts requests until the balancer has
// noticed, then waits for open requests until the stop grace period is nearly
// over.
func (g *gateway) stop(clients *limiter.Listener) {
	plan := newStopPlan(time.Now(), g.settings.Load().Bounds.StopGrace)
	g.stopping.Store(true)
	g.forwarder.Stop(plan.requests)
	g.log.WithFields(logrus.Fields{
		"event":           "stopping",
		"accept_until_ms": plan.requests.AcceptUntil.UnixMilli(),
		"answer_by_ms":    plan.requests.AnswerBy.UnixMilli(),
		"close_at_ms":     plan.closeAt.UnixMilli(),
	}).Info("gateway is stopping")
	time.Sleep(time.Until(plan.drainAt))
	ctx, cancel := context.WithDeadline(context.Background(), plan.closeAt)
	defer cancel()
	if err := clients.Drain(ctx); err != nil {
		g.log.WithError(err).WithField("event", "requests_cut").Warn("closing open requests: stop grace period is over")
	}
}

type httpListener struct {
	server   *http.Server
	listener net.Listener
}

// listenForClients is listen with a bound of the bytes that connections have received.
func (g *gateway) listenForClients(ctx context.Context, address netip.AddrPort, handler http.Handler) (httpListener, error) {
	return g.listenWith(ctx, net.ListenConfig{Control: limiter.LimitReceiving}, address, handler)
}

func (g *gateway) listen(ctx context.Context, address netip.AddrPort, handler http.Handler) (httpListener, error) {
	return g.listenWith(ctx, net.ListenConfig{}, address, handler)
}

func (g *gateway) listenWith(ctx context.Context, cfg net.ListenConfig, address netip.AddrPort, handler http.Handler) (httpListener, error) {
	cfg.KeepAliveConfig = newDialer().KeepAliveConfig
	l, err := cfg.Listen(ctx, "tcp", address.String())
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
	if g.stopping.Load() || !g.informer.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
