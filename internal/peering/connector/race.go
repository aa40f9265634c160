package connector

import (
	"context"
	"net/netip"
	"time"
)

// raceLead is how long an address has before the next one is tried too. A
// controller that is silent delays the others by no more.
const raceLead = 100 * time.Millisecond

// race tries several addresses and keeps the first connection.
type race struct {
	connector *Connector
	// results takes the end of each try, nil for a failed one.
	results chan *session
	// over closes when the race is decided.
	over chan struct{}
}

// connectFirst returns the first connection that is made, nil where none is.
func (c *Connector) connectFirst(ctx context.Context) *session {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &race{connector: c, results: make(chan *session), over: make(chan struct{})}
	defer close(r.over)
	return r.decide(ctx)
}

// decide starts the next try once the last one has failed or had its lead.
func (r *race) decide(ctx context.Context) *session {
	addresses := r.connector.cfg.Addresses
	next := time.NewTimer(0)
	defer next.Stop()
	started, ended := 0, 0
	for ended < len(addresses) {
		select {
		case <-next.C:
			if started < len(addresses) {
				go r.run(ctx, addresses[started])
				started++
				next.Reset(raceLead)
			}
		case s := <-r.results:
			if s != nil {
				return s
			}
			ended++
			next.Reset(0)
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// run tries one address. A connection that comes too late is closed.
func (r *race) run(ctx context.Context, address netip.AddrPort) {
	s, err := r.connector.connect(ctx, address)
	if err != nil {
		r.connector.cfg.Log.WithField("controller", address).WithError(err).Debug("controller not reached")
	}
	select {
	case r.results <- s:
	case <-r.over:
		if s != nil {
			s.conn.Close()
		}
	}
}
