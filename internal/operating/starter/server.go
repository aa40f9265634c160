// Package starter puts the processes of the system together.
package starter

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 32 << 10
)

// server is one listener with its handler.
type server struct {
	name     string
	listener net.Listener
	http     *http.Server
}

func listen(ctx context.Context, name string, address netip.AddrPort, handler http.Handler) (*server, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", name, err)
	}
	return &server{
		name:     name,
		listener: listener,
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeader,
		},
	}, nil
}

// run serves until the server is shut down.
func (s *server) run() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", s.name, err)
}
