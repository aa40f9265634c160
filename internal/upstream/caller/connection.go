package caller

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"gentianstep.example/gentianstep/internal/upstream/screener"
)

var (
	// errAborted reports a write to a connection whose request was aborted.
	errAborted = errors.New("write to an aborted connection")
	// errEarlyData reports bytes that an upstream has sent before the request, so that they
	// cannot be its response.
	errEarlyData = errors.New("upstream has sent data before the request")
)

// connection records whether a byte of the current request may have been sent. It
// is reset if that request is abandoned.
type connection struct {
	*screener.Conn

	mu sync.Mutex
	// owner is the exchange whose request the connection carries, or has carried
	// last, and ended is true once its response was read to the end.
	owner   *exchange
	ended   bool
	aborted bool
	// sent is set while mu is held; reads do not wait for the admission of a request.
	sent atomic.Bool

	// unreadable is closed once a read has failed or the connection was closed.
	unreadable     chan struct{}
	markUnreadable func()
}

func newConnection(conn net.Conn) *connection {
	unreadable := make(chan struct{})
	return &connection{
		Conn:           screener.NewConn(conn),
		unreadable:     unreadable,
		markUnreadable: sync.OnceFunc(func() { close(unreadable) }),
	}
}

// beginRequest records the start of the request of e and reports whether the
// connection has carried an earlier one.
func (c *connection) beginRequest(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	reused := c.owner != nil
	c.owner, c.ended = e, false
	c.sent.Store(false)
	c.BeginRequest()
	return reused
}

// endRequest records that the response to a request was read to its end.
func (c *connection) endRequest(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner == e {
		c.ended = true
	}
}

// Read implements net.Conn. It fails if bytes arrive before the request: the upstream may
// still run it, whatever they say.
func (c *connection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if (n > 0 || errors.Is(err, screener.ErrHead)) && !c.sent.Load() {
		c.refuseSend()
		n, err = 0, errEarlyData
	}
	if err != nil {
		c.markUnreadable()
	}
	return n, err
}

// refuseSend fails all writes if no byte of the current request was sent.
func (c *connection) refuseSend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = c.aborted || !c.sent.Load()
}

// Write implements net.Conn. It returns an error only once nothing more can be read,
// since the transport drops a response that it reads after a failed write.
func (c *connection) Write(data []byte) (int, error) {
	if !c.markSent() {
		return 0, errAborted
	}
	n, err := c.Conn.Write(data)
	if err != nil {
		<-c.unreadable
	}
	return n, err
}

func (c *connection) markSent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted || !c.sent.Load() && c.owner != nil && c.owner.admit != nil && !c.owner.admit() {
		return false
	}
	c.sent.Store(true)
	return true
}

// Close implements net.Conn. A connection whose request was abandoned is reset, so
// that the upstream does not get the bytes that were not sent yet.
func (c *connection) Close() error {
	c.mu.Lock()
	abandoned := c.aborted || c.owner != nil && !c.ended && c.owner.ctx.Err() != nil
	c.mu.Unlock()
	c.markUnreadable()
	if abandoned {
		return reset(c.Conn)
	}
	return c.Conn.Close()
}

// reset closes a connection and drops the bytes that were not sent yet. TLS would first
// write a message, which may wait behind them for seconds.
func reset(conn net.Conn) error {
	for {
		c, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = c.NetConn()
	}
	if c, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(0) // fails only on a closed connection
	}
	return conn.Close()
}

// abort closes the connection and fails all later writes. It reports whether a
// write of the request of e has begun, and whether it has closed the connection. It
// leaves alone a connection that carries the request of another exchange, or that has
// carried the response to its end: the transport takes one back as soon as a response
// without a body has arrived, and may have given it to another call.
func (c *connection) abort(e *exchange) (sent, closed bool) {
	c.mu.Lock()
	if c.owner != e || c.ended {
		c.mu.Unlock()
		return true, false
	}
	c.aborted = true
	sent = c.sent.Load()
	c.mu.Unlock()
	_ = c.Close()
	return sent, true
}
