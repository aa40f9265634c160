package starter

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// connectTimeout bounds the opening of a connection; the longest way on a
	// platform between regions takes a tenth of it.
	connectTimeout = 400 * time.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged before their
	// connection counts as dead. It covers two losses in a row.
	ackTimeout = 1200 * time.Millisecond
	// keepAliveIdle and keepAliveInterval find connections that went silent.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// newDialer returns a dialer of TCP connections that find out by themselves
// when the other side has gone silent.
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
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("socket options: %w", err)
	}
	if failed != nil {
		return fmt.Errorf("TCP_USER_TIMEOUT: %w", failed)
	}
	return nil
}

// newPatientTransport returns a transport of plain HTTP over newDialer.
func newPatientTransport() *http.Transport {
	return &http.Transport{
		DialContext:         newDialer().DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     upstreamIdleTimeout,
		DisableCompression:  true,
	}
}
