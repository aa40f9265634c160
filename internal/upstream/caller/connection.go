package caller

import (
	"errors"
	"net"
	"sync"
)

// errSealed reports a write to a connection whose request was given up.
var errSealed = errors.New("connection is sealed")

// connection knows whether a byte of the current request may have left.
type connection struct {
	net.Conn

	mu     sync.Mutex
	sent   bool
	used   bool
	sealed bool
}

// begin marks the start of a request and reports whether there was an earlier one.
func (c *connection) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	reused := c.used
	c.used = true
	c.sent = false
	return reused
}

// Write implements net.Conn.
func (c *connection) Write(data []byte) (int, error) {
	if !c.markSent() {
		return 0, errSealed
	}
	return c.Conn.Write(data)
}

func (c *connection) markSent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.sent = true
	return true
}

// seal closes the connection, so that no later write begins, and reports
// whether one had begun.
func (c *connection) seal() bool {
	c.mu.Lock()
	c.sealed = true
	sent := c.sent
	c.mu.Unlock()
	_ = c.Close()
	return sent
}
