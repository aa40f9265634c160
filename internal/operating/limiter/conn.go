package limiter

import (
	"container/list"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// Conn is a counted connection.
type Conn struct {
	net.Conn
	// Over is true where the connection is over the limit.
	Over bool

	beyond   bool
	listener *Listener
	// The rest is guarded by the listener. since is when the connection entered
	// the list that holds it.
	since time.Time
	in    *order
	place *list.Element
	// gone is true once the connection is closed or has given way.
	gone bool
}

// Close closes the connection and stops counting it.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	c.listener.remove(c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// serve keeps the connection while its request is served. It returns false where
// the connection has given way.
func (c *Conn) serve() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.leave()
	return !c.gone
}

// enter moves the connection to the end of a list.
func (c *Conn) enter(o *order) {
	if c.gone {
		return
	}
	c.leave()
	o.push(c, time.Now())
}

func (c *Conn) leave() {
	if c.in != nil {
		c.in.list.Remove(c.place)
		c.in, c.place = nil, nil
	}
}

// ConnState serves http.Server, so that a Listener knows which connections are
// unused.
func ConnState(conn net.Conn, state http.ConnState) {
	c, ok := counted(conn)
	if !ok {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.enter(&c.listener.unused)
	case http.StateActive:
		c.enter(&c.listener.sending)
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// counted returns the counted connection below another one.
func counted(conn net.Conn) (*Conn, bool) {
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn()
	}
	c, ok := conn.(*Conn)
	return c, ok
}

// order is a list of connections by the time at which they entered it.
type order struct {
	list list.List
}

func (o *order) push(c *Conn, now time.Time) {
	c.since, c.in = now, o
	c.place = o.list.PushBack(c)
}

// oldest returns nil for an empty list.
func (o *order) oldest() *Conn {
	front := o.list.Front()
	if front == nil {
		return nil
	}
	return front.Value.(*Conn) //nolint:forcetypeassert // Only push adds to the list.
}
