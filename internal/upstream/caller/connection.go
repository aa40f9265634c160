package caller

import (
	"errors"
	"net"
	"sync"
)

// errAborted reports a write to a connection whose request was aborted.
var errAborted = errors.New("write to an aborted connection")

// connection records whether a byte of the current request may have been sent.
type connection struct {
	net.Conn

	mu sync.Mutex
	// owner is the exchange whose request the connection carries, or has carried
	// last.
	owner   *exchange
	sent    bool
	aborted bool
	// admit reports whether the first byte of the current request may be sent;
	// nil admits it.
	admit func() bool
}

// beginRequest records the start of the request of e and reports whether the
// connection has carried an earlier one.
func (c *connection) beginRequest(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	reused := c.owner != nil
	c.owner, c.sent, c.admit = e, false, e.admit
	return reused
}

// Write implements net.Conn.
func (c *connection) Write(data []byte) (int, error) {
	if !c.markSent() {
		return 0, errAborted
	}
	return c.Conn.Write(data)
}

func (c *connection) markSent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted || !c.sent && c.admit != nil && !c.admit() {
		return false
	}
	c.sent = true
	return true
}

// abort closes the connection and fails all later writes. It reports whether a
// write of the request of e has begun. It leaves alone a connection that carries
// the request of another exchange: the transport reuses one as soon as a response
// without a body has arrived.
func (c *connection) abort(e *exchange) bool {
	c.mu.Lock()
	if c.owner != e {
		c.mu.Unlock()
		return true
	}
	c.aborted = true
	sent := c.sent
	c.mu.Unlock()
	_ = c.Close()
	return sent
}
