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

	mu      sync.Mutex
	sent    bool
	used    bool
	aborted bool
	// admit reports whether the first byte of the current request may be sent;
	// nil admits it.
	admit func() bool
}

// beginRequest records the start of a request and reports whether the connection
// has carried an earlier one.
func (c *connection) beginRequest(admit func() bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	reused := c.used
	c.used = true
	c.sent, c.admit = false, admit
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
// write of the current request has begun.
func (c *connection) abort() bool {
	c.mu.Lock()
	c.aborted = true
	sent := c.sent
	c.mu.Unlock()
	_ = c.Close()
	return sent
}
