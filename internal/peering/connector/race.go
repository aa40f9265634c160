package connector

import (
	"context"
	"net/netip"
	"time"
)

// attemptDelay is the delay between the starts of two connection attempts, as in
// Happy Eyeballs (RFC 8305). A controller that does not respond delays the attempt
// to the next one by no more than this.
const attemptDelay = 100 * time.Millisecond

// staggeredDial dials several addresses with staggered starts and keeps the first
// connection that is established.
type staggeredDial struct {
	connector *Connector
	// results receives the session of each attempt, nil if the attempt failed.
	results chan *session
	// done is closed when no more results are received.
	done chan struct{}
}

// connectFirst returns the first session that is established, or nil if every
// attempt failed.
func (c *Connector) connectFirst(ctx context.Context) *session {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &staggeredDial{connector: c, results: make(chan *session), done: make(chan struct{})}
	defer close(d.done)
	return d.first(ctx)
}

// first starts the next attempt when one has failed or attemptDelay has passed, and
// returns the first session.
func (d *staggeredDial) first(ctx context.Context) *session {
	addresses := d.connector.cfg.Addresses
	next := time.NewTimer(0)
	defer next.Stop()
	started, failed := 0, 0
	for failed < len(addresses) {
		select {
		case <-next.C:
			if started < len(addresses) {
				go d.attempt(ctx, addresses[started])
				started++
				next.Reset(attemptDelay)
			}
		case s := <-d.results:
			if s != nil {
				return s
			}
			failed++
			next.Reset(0)
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// attempt connects to one address. A connection that is established after first has
// returned is closed.
func (d *staggeredDial) attempt(ctx context.Context, address netip.AddrPort) {
	s, err := d.connector.connect(ctx, address)
	if err != nil {
		d.connector.cfg.Log.WithField("controller", address).WithError(err).Debug("failed to connect to controller")
	}
	select {
	case d.results <- s:
	case <-d.done:
		if s != nil {
			s.conn.Close()
		}
	}
}
