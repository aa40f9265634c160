// Package leaser holds the right to place models in one region. At most one
// node holds it at a time, by a lease in the platform's store.
package leaser

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"gentianstep.example/gentianstep/internal/operating/pauser"
	"gentianstep.example/gentianstep/internal/platform/storer"
)

// claim is the value of a region's key. The token tells one acquisition from
// all others, so that a lost answer can be settled.
type claim struct {
	Node  string `json:"node"`
	Token string `json:"token"`
}

// Node returns the node that holds a region's lease, from the value of its key.
func Node(value []byte) (string, error) {
	var c claim
	if err := json.Unmarshal(value, &c); err != nil {
		return "", fmt.Errorf("lease: %w", err)
	}
	return c.Node, nil
}

// Leaser takes and renews a region's lease.
type Leaser struct {
	cfg   Config
	lease uint64

	mu      sync.Mutex
	holding Holding
}

// New returns a Leaser that holds nothing.
func New(cfg Config) *Leaser {
	return &Leaser{cfg: cfg}
}

// Holding returns the right as it stands at now, false where there is none.
func (l *Leaser) Holding(now time.Time) (Holding, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holding, l.holding.Valid(now)
}

func (l *Leaser) set(h Holding) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holding = h
}

// Run competes for the lease until ctx ends, then gives it up.
func (l *Leaser) Run(ctx context.Context) {
	started := false
	for ctx.Err() == nil {
		terms, ok := l.cfg.Terms()
		if !ok {
			pauser.Pause(ctx, idle)
			continue
		}
		if !started {
			pauser.Pause(ctx, mathrand.N(terms.TTL/2)) // spreads nodes that start at once
			started = true
		}
		if l.cfg.Taken != nil && l.cfg.Taken() {
			pauser.Pause(ctx, terms.retryEvery())
			continue
		}
		h, err := l.acquire(ctx, terms)
		if err != nil {
			l.cfg.Log.WithError(err).Debug("lease not taken")
			pauser.Pause(ctx, terms.TTL/2+mathrand.N(terms.TTL/2))
			continue
		}
		l.set(h)
		l.cfg.Log.WithField("event", "lease_taken").WithField("fencing", h.Fencing).Info("placement lease taken")
		l.keep(ctx, terms, h)
		l.set(Holding{})
		l.cfg.Log.WithField("event", "lease_ended").WithField("fencing", h.Fencing).Info("placement lease ended")
	}
}

// acquire takes the lease if nobody has it.
func (l *Leaser) acquire(ctx context.Context, terms Terms) (Holding, error) {
	ctx, cancel := context.WithTimeout(ctx, terms.TTL)
	defer cancel()
	_, err := l.cfg.Store.Get(ctx, l.cfg.Key)
	if err == nil {
		return Holding{}, storer.ErrConflict
	}
	if !errors.Is(err, storer.ErrNotFound) {
		return Holding{}, err
	}
	sent, endsAtBoot := time.Now(), bootDeadline(terms.TTL-terms.margin())
	lease, err := l.cfg.Store.Grant(ctx, terms.TTL)
	if err != nil {
		return Holding{}, err
	}
	l.lease = lease.ID
	value, err := json.Marshal(claim{Node: l.cfg.Node, Token: rand.Text()})
	if err != nil {
		return Holding{}, err
	}
	revision, err := l.put(ctx, value)
	if err != nil {
		l.release(terms)
		return Holding{}, err
	}
	return Holding{
		Fencing:        revision,
		Deadline:       sent.Add(terms.TTL - terms.margin()),
		endsAtBoot:     endsAtBoot,
		UncheckedAfter: time.Now().Add(terms.TTL + terms.OrderTimeout),
	}, nil
}

// put creates the key and settles a lost answer by the token.
func (l *Leaser) put(ctx context.Context, value []byte) (uint64, error) {
	revision, putErr := l.cfg.Store.Put(ctx, l.cfg.Key, value, storer.PutOptions{LeaseID: l.lease})
	if putErr == nil {
		return revision, nil
	}
	entry, err := l.cfg.Store.Get(ctx, l.cfg.Key)
	if err == nil && bytes.Equal(entry.Value, value) {
		return entry.Revision, nil
	}
	return 0, putErr
}

// keep renews the lease until it is lost, its deadline passes or ctx ends.
func (l *Leaser) keep(ctx context.Context, terms Terms, h Holding) {
	wait := terms.renewEvery()
	for h.Valid(time.Now()) {
		pauser.Pause(ctx, min(wait, time.Until(h.Deadline)))
		if ctx.Err() != nil {
			l.release(terms)
			return
		}
		sent, endsAtBoot := time.Now(), bootDeadline(terms.TTL-terms.margin())
		if !h.Valid(sent) {
			return
		}
		err := l.renew(ctx, h.Deadline)
		switch {
		case err == nil:
			h.Deadline, h.endsAtBoot = sent.Add(terms.TTL-terms.margin()), endsAtBoot
			l.set(h)
			wait = terms.renewEvery()
		case errors.Is(err, storer.ErrLeaseGone):
			return
		default:
			l.cfg.Log.WithError(err).Debug("lease not renewed")
			wait = terms.retryEvery()
		}
	}
}

// renew asks for more time. Where no answer comes, the deadline stays: the
// lease in the store may last longer than the holder believes, never less.
func (l *Leaser) renew(ctx context.Context, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	_, err := l.cfg.Store.Renew(ctx, l.lease)
	return err
}

// release gives the lease up, so that another node need not wait for its end.
func (l *Leaser) release(terms Terms) {
	l.set(Holding{})
	ctx, cancel := context.WithTimeout(context.Background(), terms.margin())
	defer cancel()
	_ = l.cfg.Store.Revoke(ctx, l.lease)
}
