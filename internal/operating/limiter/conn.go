package limiter

import (
	"container/list"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// Conn is a connection that counts against the limit of a Listener.
type Conn struct {
	net.Conn
	// OverLimit is true if the connection exceeds the limit. Its requests are
	// rejected.
	OverLimit bool

	// overflow is true if the connection exceeds the limit by more than
	// maxOverLimit. It is closed at once.
	overflow bool
	listener *Listener

	// The fields below are guarded by listener.mu.

	// queuedAt is when the connection was added to queue.
	queuedAt time.Time
	// queue is the eviction queue that holds the connection, nil while a request
	// is served.
	queue   *connQueue
	element *list.Element
	// receiving is true from the header of a request until the next one is awaited.
	receiving bool
	// hijacked is true once the connection no longer carries requests.
	hijacked bool
	// removed is true once the connection is closed or evicted.
	removed bool
}

// Close closes the connection and stops counting it.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	c.listener.remove(c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// SetLinger sets what becomes of unsent data when the connection is closed, as that of a
// net.TCPConn does. Connections of other kinds have no such setting.
func (c *Conn) SetLinger(seconds int) error {
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return conn.SetLinger(seconds)
	}
	return nil
}

// markServing exempts the connection from eviction while its request is served.
// It returns false if the connection is already evicted or closed.
func (c *Conn) markServing() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.dequeue()
	return !c.removed
}

// enqueue moves the connection to the end of an eviction queue.
func (c *Conn) enqueue(q *connQueue) {
	if c.removed {
		return
	}
	c.dequeue()
	q.push(c, time.Now())
}

// dequeue removes the connection from its eviction queue, if any.
func (c *Conn) dequeue() {
	if c.queue != nil {
		c.queue.list.Remove(c.element)
		c.queue, c.element = nil, nil
	}
}

// ConnState is a callback for http.Server.ConnState. It tells the Listener which
// connections are idle and which receive a request.
func ConnState(conn net.Conn, state http.ConnState) {
	c, ok := limitedConn(conn)
	if !ok {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.receiving = false
		c.enqueue(&c.listener.idle)
	case http.StateActive:
		c.markReceiving()
		c.enqueue(&c.listener.incomplete)
	case http.StateHijacked:
		c.markHijacked()
	case http.StateNew, http.StateClosed:
	}
}

// markHijacked notes that the server no longer ends the connection. The caller holds
// listener.mu.
func (c *Conn) markHijacked() {
	if !c.removed {
		c.hijacked = true
		c.listener.hijacked++
	}
}

// limitedConn returns the Conn that conn is or, with TLS, wraps.
func limitedConn(conn net.Conn) (*Conn, bool) {
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn()
	}
	c, ok := conn.(*Conn)
	return c, ok
}

// connQueue is an eviction queue: connections in the order in which they were
// added.
type connQueue struct {
	list list.List
}

func (q *connQueue) push(c *Conn, now time.Time) {
	c.queuedAt, c.queue = now, q
	c.element = q.list.PushBack(c)
}

// oldest returns the connection at the front, or nil if the queue is empty.
func (q *connQueue) oldest() *Conn {
	front := q.list.Front()
	if front == nil {
		return nil
	}
	return front.Value.(*Conn) //nolint:forcetypeassert // Only push adds to the list.
}
