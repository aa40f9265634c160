package caller

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// probe is an idle connection to an upstream that sends a response without a length. It
// ends with the process of the upstream, also if another one listens at the address by then.
type probe struct {
	cancel context.CancelFunc
	// ended is closed once the probe has ended.
	ended chan struct{}

	mu   sync.Mutex
	conn net.Conn
	// openedAt is zero before the connection is open, and endedAt before it has ended.
	openedAt, endedAt time.Time
	// refused is true if nothing listened at the address.
	refused  bool
	released bool
}

// newProbe begins to open a connection to an address.
func (c *Caller) newProbe(address netip.AddrPort) *probe {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	p := &probe{cancel: cancel, ended: make(chan struct{})}
	go p.run(ctx, c.pool.dial, address)
	return p
}

// run opens the connection and waits for its end.
func (p *probe) run(ctx context.Context, dial DialFunc, address netip.AddrPort) {
	defer close(p.ended)
	conn, err := dial(ctx, "tcp", address.String())
	if !p.setConn(conn, err) {
		return
	}
	// Upstreams send nothing on a connection without a request, unless they end it.
	_, _ = conn.Read(make([]byte, 1))
	_ = conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endedAt = time.Now()
}

// setConn records the result of opening the connection. It returns false if there is nothing
// to wait for.
func (p *probe) setConn(conn net.Conn, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.refused = errors.Is(err, syscall.ECONNREFUSED)
		return false
	}
	if p.released {
		_ = conn.Close()
		return false
	}
	p.conn, p.openedAt = conn, time.Now()
	return true
}

// release closes the connection. It may be called more than once.
func (p *probe) release() {
	p.cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released = true
	if p.conn != nil {
		_ = p.conn.Close()
	}
}

// hasEnded reports whether the connection has ended, or ends before ctx is done.
func (p *probe) hasEnded(ctx context.Context) bool {
	select {
	case <-p.ended:
		return true
	case <-ctx.Done():
		return false
	}
}

// isEvidence reports whether the connection tells whether the process that has sent a response
// has ended with it: it was open before the last byte was read, and did not end long before. A
// process that is held up may read the end of the connection first.
func (p *probe) isEvidence(lastByteAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	endedBefore := !p.endedAt.IsZero() && lastByteAt.Sub(p.endedAt) > maxReadDelay
	return !p.openedAt.IsZero() && p.openedAt.Before(lastByteAt) && !endedBefore
}

// wasRefused reports whether nothing listened at the address.
func (p *probe) wasRefused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused
}
