package limiter

import (
	"context"
	"fmt"
	"time"
)

const (
	// drainInterval is the time between two looks at the connections of a Listener that
	// drains.
	drainInterval = 5 * time.Millisecond
	// firstRequestTime is how long a new connection may take to send its first request while
	// its Listener drains. It covers the wait for the processor of a busy VM.
	firstRequestTime = 500 * time.Millisecond
)

// expired is a read deadline in the past.
var expired = time.Unix(1, 0)

// Drain closes the listener and returns once all connections have ended, or ctx is done.
// Requests that were read are served, and their responses end their connections;
// connections that wait for a request are closed. http.Server.Shutdown drops requests that
// it has read but not handed to the handler yet.
func (l *Listener) Drain(ctx context.Context) error {
	if err := l.Close(); err != nil {
		return fmt.Errorf("close listener: %w", err)
	}
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for l.expireWaiting(time.Now()) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// expireWaiting ends the reads of the connections that wait for a request, and returns the
// number of open connections.
func (l *Listener) expireWaiting(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	for e := l.idle.list.Front(); e != nil; e = e.Next() {
		e.Value.(*Conn).expireRead() //nolint:forcetypeassert // Only push adds to the list.
	}
	for e := l.incomplete.list.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn) //nolint:forcetypeassert // Only push adds to the list.
		if !c.receiving && now.Sub(c.queuedAt) >= firstRequestTime {
			c.expireRead()
		}
	}
	return l.open - l.hijacked
}

// isDraining reports whether connections end with their next response.
func (l *Listener) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// expireRead ends the read of the next request. It fails only on a closed connection. The
// caller holds listener.mu.
func (c *Conn) expireRead() { _ = c.SetReadDeadline(expired) }

// markReceiving notes that the header of a request was read. That may have been just before
// a read for it was ended; the request is served all the same. The caller holds listener.mu.
func (c *Conn) markReceiving() {
	c.receiving = true
	if c.listener.draining {
		_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
}
