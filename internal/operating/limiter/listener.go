// Package limiter bounds what callers and peers may take of a process before
// their requests are understood: connections and time.
package limiter

import (
	"net"
	"sync"
	"sync/atomic"

	"gentianstep.example/gentianstep/internal/operating/meter"
)

// overflow is the number of connections over the limit that are kept for long
// enough to be told so. Those beyond are closed at once.
const overflow = 64

// ListenerConfig holds what a Listener is built from.
type ListenerConfig struct {
	Listener net.Listener
	// Name is the label of the listener's metrics.
	Name string
	// Limit is the number of connections that are served side by side.
	Limit int
	Meter *meter.Meter
}

// Listener counts the open connections of another listener.
type Listener struct {
	net.Listener
	cfg  ListenerConfig
	open atomic.Int64
}

// NewListener returns a Listener without connections.
func NewListener(cfg ListenerConfig) *Listener {
	return &Listener{Listener: cfg.Listener, cfg: cfg}
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		n := l.open.Add(1)
		c := &Conn{Conn: conn, listener: l, Over: n > int64(l.cfg.Limit)}
		if c.Over {
			l.cfg.Meter.Count(meter.ConnectionsRefused, l.cfg.Name, 1)
		}
		if n > int64(l.cfg.Limit)+overflow {
			_ = c.Close()
			continue
		}
		l.cfg.Meter.Set(meter.Connections, l.cfg.Name, n)
		return c, nil
	}
}

// Conn is a counted connection.
type Conn struct {
	net.Conn
	// Over is true where the connection is over the limit.
	Over bool

	listener *Listener
	once     sync.Once
}

// Close closes the connection and stops counting it.
func (c *Conn) Close() error {
	c.once.Do(func() {
		n := c.listener.open.Add(-1)
		c.listener.cfg.Meter.Set(meter.Connections, c.listener.cfg.Name, n)
	})
	return c.Conn.Close()
}
