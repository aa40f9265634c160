// Package limiter bounds what callers and peers may take of a process before
// their requests are understood: connections and time.
package limiter

import (
	"net"
	"sync"
	"time"

	"gentianstep.example/gentianstep/internal/operating/meter"
)

const (
	// overflow is the number of connections over the limit that are kept for long
	// enough to be told so. Those beyond are closed at once.
	overflow = 64
	// sendingTime is how long a connection may take to send a request before it
	// gives way ahead of unused ones: several round trips of a distant client.
	sendingTime = time.Second
)

// ListenerConfig holds what a Listener is built from.
type ListenerConfig struct {
	Listener net.Listener
	// Name is the label of the listener's metrics.
	Name string
	// Limit is the number of connections that are served side by side.
	Limit int
	Meter *meter.Meter
}

// Listener counts the open connections of another listener. At the limit a new
// connection takes the place of one that serves no request.
type Listener struct {
	net.Listener
	cfg ListenerConfig

	mu   sync.Mutex
	open int
	// sending holds connections whose request is not whole yet, unused those that
	// wait for another one, each with the oldest first.
	sending, unused order
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
		c, givesWay := l.add(conn, time.Now())
		if givesWay != nil {
			l.cfg.Meter.Count(meter.ConnectionsGaveWay, l.cfg.Name, 1)
			_ = givesWay.Close()
		}
		if c.Over {
			l.cfg.Meter.Count(meter.ConnectionsRefused, l.cfg.Name, 1)
		}
		if c.beyond {
			_ = c.Close()
			continue
		}
		return c, nil
	}
}

// add counts a connection and returns it with the one that gives way to it.
func (l *Listener) add(conn net.Conn, now time.Time) (c, givesWay *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.cfg.Limit {
		givesWay = l.yield(now)
	}
	l.open++
	l.cfg.Meter.Set(meter.Connections, l.cfg.Name, int64(l.open))
	c = &Conn{
		Conn:     conn,
		Over:     l.open > l.cfg.Limit,
		beyond:   l.open > l.cfg.Limit+overflow,
		listener: l,
	}
	l.sending.push(c, now)
	return c, givesWay
}

// yield picks the connection that gives way, nil where all serve requests: the
// slowest sender, else the one that has been unused for longest.
func (l *Listener) yield(now time.Time) *Conn {
	c := l.sending.oldest()
	if c == nil || now.Sub(c.since) < sendingTime {
		if unused := l.unused.oldest(); unused != nil {
			c = unused
		}
	}
	if c != nil {
		l.remove(c)
	}
	return c
}

// remove stops counting a connection.
func (l *Listener) remove(c *Conn) {
	if c.gone {
		return
	}
	c.gone = true
	c.leave()
	l.open--
	l.cfg.Meter.Set(meter.Connections, l.cfg.Name, int64(l.open))
}
