// Package starter assembles the components of each process and runs it: router,
// controller and gateway.
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
	"gentianstep.example/gentianstep/internal/operating/reserver"
)

const (
	// requestReadTimeout limits reading the header of a request, and reading its
	// body on the listeners for peers and operators.
	requestReadTimeout = 5 * time.Second
	idleTimeout        = 2 * time.Minute
	maxHeaderBytes     = 32 << 10
)

// Listener names in errors, log entries and metrics.
const (
	callersListener   = "callers"
	operatorsListener = "operators"
	peersListener     = "peers"
)

// serverConfig configures a server.
type serverConfig struct {
	// name is the listener name in errors, log entries and metrics.
	name    string
	address netip.AddrPort
	handler http.Handler
	// maxConnections limits the open connections.
	maxConnections int
	// memory is the budget of the bytes that are held for clients; nil sets no limit.
	memory *reserver.Reserver
	// certifier provides the TLS certificate; nil disables TLS.
	certifier *certifier.Certifier
	meter     *meter.Meter
	log       *logrus.Entry
}

// server is an HTTP server with its listener.
type server struct {
	name     string
	listener net.Listener
	// connections is the listener without TLS.
	connections *limiter.Listener
	http        *http.Server
}

// listen opens a listener and returns a server that is not yet accepting.
func listen(ctx context.Context, cfg serverConfig) (*server, error) {
	listenConfig := net.ListenConfig{}
	if cfg.memory != nil {
		listenConfig.Control = limiter.LimitReceiving
	}
	plain, err := listenConfig.Listen(ctx, "tcp", cfg.address.String())
	if err != nil {
		return nil, fmt.Errorf("open %s listener: %w", cfg.name, err)
	}
	connections := limiter.NewListener(limiter.ListenerConfig{
		Listener:  plain,
		Name:      cfg.name,
		Limit:     cfg.maxConnections,
		Memory:    cfg.memory,
		Encrypted: cfg.certifier != nil,
		Meter:     cfg.meter,
	})
	var listener net.Listener = connections
	if cfg.certifier != nil {
		listener = tls.NewListener(listener, cfg.certifier.ServerConfig())
	}
	return &server{
		name:        cfg.name,
		listener:    listener,
		connections: connections,
		http:        newHTTPServer(cfg.handler, idleTimeout, cfg.name, cfg.log),
	}, nil
}

// newHTTPServer returns an HTTP server. It logs its connection errors with the
// name of the listener and closes keep-alive connections that are unused for
// idle.
func newHTTPServer(handler http.Handler, idle time.Duration, listener string, log *logrus.Entry) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: requestReadTimeout,
		IdleTimeout:       idle,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       limiter.ConnContext,
		ConnState:         limiter.ConnState,
		ErrorLog:          stdlog.New(&errorLogWriter{log: log, listener: listener}, "", 0),
	}
}

// withLimits wraps next with the request limits of the listeners for peers and
// operators.
func withLimits(next http.Handler, log *logrus.Entry) http.Handler {
	return limiter.NewHandler(limiter.HandlerConfig{Next: next, BodyTimeout: requestReadTimeout, Log: log})
}

// run accepts and serves connections until the server is shut down.
func (s *server) run() error {
	err := s.http.Serve(s.listener)
	if isClosed(err) {
		return nil
	}
	return fmt.Errorf("serve %s listener: %w", s.name, err)
}

// isClosed reports whether a server has ended since it, or its listener, was closed.
func isClosed(err error) bool {
	return errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed)
}

// shutdown stops accepting connections and waits for open requests. If they are
// not done after timeout, it closes their connections and returns an error.
func (s *server) shutdown(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := s.connections.Drain(ctx)
	s.close()
	return err
}

// close closes the listener and all connections immediately.
func (s *server) close() { _ = s.http.Close() }
