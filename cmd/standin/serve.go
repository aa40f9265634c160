package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	headerTimeout = 5 * time.Second
	closeTimeout  = 2 * time.Second
)

// serve answers at address until ctx ends.
func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	fmt.Println("listening on", listener.Addr())
	s := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stopped := context.AfterFunc(ctx, func() {
		deadline, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		if s.Shutdown(deadline) != nil {
			_ = s.Close()
		}
	})
	defer stopped()
	if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
