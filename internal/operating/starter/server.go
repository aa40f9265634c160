// Package starter puts the processes of the system together.
package starter

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/operating/certifier"
	"gentianstep.example/gentianstep/internal/operating/limiter"
	"gentianstep.example/gentianstep/internal/operating/meter"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 32 << 10
)

// Names of the listeners.
const (
	callersListener   = "callers"
	operatorsListener = "operators"
	peersListener     = "peers"
)

// serverConfig holds what a server is built from.
type serverConfig struct {
	// name labels the listener in errors and metrics.
	name    string
	address netip.AddrPort
	handler http.Handler
	// maxConnections bounds the open connections.
	maxConnections int
	// certifier encrypts the connections; nil leaves them plain.
	certifier *certifier.Certifier
	meter     *meter.Meter
	log       *logrus.Entry
}

// server is one listener with its handler.
type server struct {
	name     string
	listener net.Listener
	http     *http.Server
}

func listen(ctx context.Context, cfg serverConfig) (*server, error) {
	plain, err := (&net.ListenConfig{}).Listen(ctx, "tcp", cfg.address.String())
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", cfg.name, err)
	}
	var listener net.Listener = limiter.NewListener(limiter.ListenerConfig{
		Listener: plain,
		Name:     cfg.name,
		Limit:    cfg.maxConnections,
		Meter:    cfg.meter,
	})
	if cfg.certifier != nil {
		listener = tls.NewListener(listener, cfg.certifier.ServerConfig())
	}
	return &server{
		name:     cfg.name,
		listener: listener,
		http:     newHTTPServer(cfg.handler, idleTimeout, cfg.name, cfg.log),
	}, nil
}

// newHTTPServer returns the server of a listener, whose name stands in its log.
// Unused connections are closed after idle.
func newHTTPServer(handler http.Handler, idle time.Duration, listener string, log *logrus.Entry) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idle,
		MaxHeaderBytes:    maxHeader,
		ConnContext:       limiter.ConnContext,
		ConnState:         limiter.ConnState,
		ErrorLog:          stdlog.New(&serverLog{log: log, listener: listener}, "", 0),
	}
}

// limited puts the limits of a listener for peers or operators around next.
func limited(next http.Handler, log *logrus.Entry) http.Handler {
	return limiter.NewHandler(limiter.HandlerConfig{Next: next, BodyTimeout: headerTimeout, Log: log})
}

// run serves until the server is shut down.
func (s *server) run() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", s.name, err)
}

// shutdown stops accepting and waits for open requests; after timeout it cuts
// them and says so.
func (s *server) shutdown(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := s.http.Shutdown(ctx)
	if err != nil {
		s.close()
	}
	return err
}

// close cuts everything at once.
func (s *server) close() { _ = s.http.Close() }
