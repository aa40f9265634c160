package starter

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"gentianstep.example/gentianstep/internal/upstream/caller"
	"gentianstep.example/gentianstep/internal/upstream/screener"
)

const (
	// connectTimeout limits the TCP handshake. The highest latency between regions
	// of a platform is a tenth of it.
	connectTimeout = 400 * time.Millisecond
	// ackTimeout is the TCP_USER_TIMEOUT: how long sent data may remain
	// unacknowledged before the connection is closed. It allows for the loss of two
	// packets in a row.
	ackTimeout = 1200 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive,
	// which detects dead idle connections.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// newDialer returns a dialer whose TCP connections fail when the peer stops
// responding, both while idle (keep-alive) and while sending (ackTimeout).
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		ControlContext: setAckTimeout,
	}
}

func setAckTimeout(_ context.Context, _, _ string, c syscall.RawConn) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("access socket to set TCP_USER_TIMEOUT: %w", err)
	}
	if sockoptErr != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", sockoptErr)
	}
	return nil
}

// newClient returns an HTTP client with connections of its own, without TLS. It does not
// follow redirects, which may lead to other hosts.
func (g *gateway) newClient() *http.Client {
	return &http.Client{Transport: screener.NewTransport(g.newTransport()), CheckRedirect: caller.DisableRedirects}
}

// newUnpooledClient is newClient with a new connection for each call.
func (g *gateway) newUnpooledClient() *http.Client {
	t := g.newTransport()
	t.DisableKeepAlives = true
	return &http.Client{Transport: screener.NewTransport(t), CheckRedirect: caller.DisableRedirects}
}

func (g *gateway) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            g.dial,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        upstreamIdleTimeout,
		MaxResponseHeaderBytes: caller.MaxHeaderBytes,
		DisableCompression:     true,
	}
}
