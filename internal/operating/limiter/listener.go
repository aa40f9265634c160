// Package limiter limits the connections and the time that callers and peers can
// occupy before their requests are parsed.
package limiter

import (
	"net"
	"sync"
	"time"

	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/operating/reserver"
)

const (
	// maxOverLimit is the number of connections over the limit that stay open long
	// enough to receive an error response. Further ones are closed at once.
	maxOverLimit = 64
	// requestGracePeriod is the age from which an incomplete request is evicted
	// before idle connections. It covers several round trips of a distant client.
	requestGracePeriod = time.Second
)

// ListenerConfig configures a Listener.
type ListenerConfig struct {
	Listener net.Listener
	// Name is the label value of the listener's metrics.
	Name string
	// Limit is the maximum number of concurrent connections that are served.
	Limit int
	// Memory is the budget of the bytes that are held for clients; nil sets no limit.
	Memory *reserver.Reserver
	// Encrypted is true if the connections use TLS.
	Encrypted bool
	Meter     *meter.Meter
}

// Listener limits the open connections of the listener that it wraps. At the limit
// a new connection evicts one that serves no request.
type Listener struct {
	net.Listener
	cfg ListenerConfig

	mu   sync.Mutex
	open int
	// ending is the number of evicted connections that http.Server has not closed yet.
	ending int
	// hijacked is the number of open connections that no longer carry requests.
	hijacked int
	// draining is true once Drain was called.
	draining bool
	// incomplete holds connections whose request is not received completely, idle
	// those that wait for their next request. Both are eviction queues, oldest
	// first.
	incomplete, idle connQueue
}

// NewListener returns a Listener that wraps cfg.Listener.
func NewListener(cfg ListenerConfig) *Listener {
	return &Listener{Listener: cfg.Listener, cfg: cfg}
}

// Accept implements net.Listener. Connections that exceed the limit by more than
// maxOverLimit are closed and not returned.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, evicted := l.add(conn, time.Now())
		if evicted != nil {
			l.cfg.Meter.Count(meter.ConnectionsEvicted, l.cfg.Name, 1)
			_ = evicted.Conn.Close()
		}
		if !c.overflow {
			c.overflow = !l.reserve(c)
		}
		if c.OverLimit || c.overflow {
			l.cfg.Meter.Count(meter.ConnectionsRefused, l.cfg.Name, 1)
		}
		if c.overflow {
			_ = c.Close()
			continue
		}
		return c, nil
	}
}

// add counts a connection and returns it with the one evicted for it, or nil if
// none was.
func (l *Listener) add(conn net.Conn, now time.Time) (c, evicted *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.cfg.Limit {
		evicted = l.evict(now)
	}
	l.open++
	l.cfg.Meter.Set(meter.Connections, l.cfg.Name, int64(l.open))
	c = &Conn{
		memory:    l.cfg.Memory.OpenConnection(func() { _ = conn.Close() }),
		Conn:      conn,
		OverLimit: l.open > l.cfg.Limit,
		overflow:  l.open > l.cfg.Limit+maxOverLimit,
		listener:  l,
	}
	l.incomplete.push(c, now)
	return c, evicted
}

// reserve reserves the memory of a new connection, and evicts another one if there is none
// left. It returns false if no connection can be evicted, or if too many evicted ones still
// hold their memory.
func (l *Listener) reserve(c *Conn) bool {
	if c.memory.Reserve(c.bytes()) == nil {
		return true
	}
	l.mu.Lock()
	var evicted *Conn
	if l.ending < maxOverLimit {
		c.dequeue() // it is not evicted for itself
		now := time.Now()
		evicted = l.evict(now)
		l.incomplete.push(c, now)
	}
	l.mu.Unlock()
	if evicted == nil {
		return false
	}
	l.cfg.Meter.Count(meter.ConnectionsEvicted, l.cfg.Name, 1)
	_ = evicted.Conn.Close()
	c.memory.ReserveAnyway(c.bytes())
	return true
}

// evict stops counting one connection and returns it for closing: the oldest
// incomplete one if it is older than requestGracePeriod, else the one idle for
// longest, else the oldest incomplete one. It returns nil if all connections serve
// requests.
func (l *Listener) evict(now time.Time) *Conn {
	c := l.incomplete.oldest()
	if c == nil || now.Sub(c.queuedAt) < requestGracePeriod {
		if idle := l.idle.oldest(); idle != nil {
			c = idle
		}
	}
	if c != nil {
		l.remove(c)
		c.ending = true
		l.ending++
	}
	return c
}

// remove takes a connection out of its eviction queue and stops counting it.
func (l *Listener) remove(c *Conn) {
	if c.removed {
		return
	}
	c.removed = true
	c.dequeue()
	l.open--
	if c.hijacked {
		l.hijacked--
	}
	l.cfg.Meter.Set(meter.Connections, l.cfg.Name, int64(l.open))
}
