// Package leaser elects the node that gives orders to engines. At most one node
// at a time holds a given lease in the platform's store.
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

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/operating/pauser"
	"gentianstep.example/gentianstep/internal/operating/timekeeper"
	"gentianstep.example/gentianstep/internal/platform/storer"
)

// leaseRecord is the value stored under the lease key. The token is unique to
// one acquisition, so that the holder can recognise its own write after the
// response was lost.
type leaseRecord struct {
	Node  string `json:"node"`
	Token string `json:"token"`
}

// ParseHolder decodes the value of a lease key and returns the node that holds
// the lease.
func ParseHolder(value []byte) (string, error) {
	var record leaseRecord
	if err := storer.Decode(value, &record); err != nil {
		return "", fmt.Errorf("decode value of lease key: %w", err)
	}
	return record.Node, nil
}

// Leaser acquires and renews one lease.
type Leaser struct {
	cfg Config
	// granted is the lease in the store, and value is what this node writes under its
	// key.
	granted storer.Lease
	value   []byte
	eras    eras
	// heldUntil is the era whose start ended a lease of this node, 0 if there is none.
	heldUntil uint64

	mu    sync.Mutex
	lease Lease
}

// New returns a Leaser that does not hold its lease.
func New(cfg Config) *Leaser {
	if cfg.SinceBoot == nil {
		cfg.SinceBoot = timekeeper.SinceBoot
	}
	return &Leaser{cfg: cfg}
}

// Holding returns the lease and whether this node holds it at now.
func (l *Leaser) Holding(now time.Time) (Lease, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease, l.lease.Valid(now)
}

func (l *Leaser) setLease(lease Lease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease = lease
}

// Run acquires the lease whenever it is free and renews it, until ctx is done.
// It then releases the lease.
func (l *Leaser) Run(ctx context.Context) {
	started := false
	for ctx.Err() == nil {
		durations, ok := l.cfg.Durations()
		if !ok {
			pauser.Pause(ctx, configPollInterval)
			continue
		}
		if !started {
			pauser.Pause(ctx, l.startDelay(durations))
			started = true
		}
		if l.heldElsewhere() {
			pauser.Pause(ctx, durations.retryInterval())
			continue
		}
		if l.cfg.AcquireDelay != nil {
			pauser.Pause(ctx, l.cfg.AcquireDelay())
			if l.heldElsewhere() || ctx.Err() != nil {
				continue
			}
		}
		lease, err := l.acquire(ctx, durations)
		if err != nil {
			l.logAcquireError(err)
			pauser.Pause(ctx, durations.TTL/2+mathrand.N(durations.TTL/2))
			continue
		}
		l.setLease(lease)
		l.cfg.Log.WithFields(logrus.Fields{
			"event":        "lease_taken",
			"fencing":      lease.Fencing,
			"era":          l.granted.Era,
			"starts_in_ms": max(time.Until(lease.StartsAt), 0).Milliseconds(),
		}).Info("lease acquired")
		l.renewUntilLost(ctx, durations, lease)
		l.setLease(Lease{})
		l.cfg.Log.WithField("event", "lease_ended").WithField("fencing", lease.Fencing).Info("lease released or lost")
	}
}

// logAcquireError logs why the lease was not acquired. That another node holds it is
// usual, and so is a store that is unavailable for a while.
func (l *Leaser) logAcquireError(err error) {
	level := logrus.DebugLevel
	if errors.Is(err, errNoFencingNumber) {
		level = logrus.ErrorLevel
	}
	l.cfg.Log.WithError(err).Log(level, "failed to acquire lease")
}

// startDelay returns how long a node waits after its start. Nodes that start at the same
// time must not all try at once; with an AcquireDelay, they must know of each other.
func (l *Leaser) startDelay(durations Durations) time.Duration {
	if l.cfg.AcquireDelay != nil {
		return durations.TTL / 2
	}
	return mathrand.N(durations.TTL / 2)
}

// heldElsewhere reports whether the lease is known to be held.
func (l *Leaser) heldElsewhere() bool {
	if l.cfg.Held == nil {
		return false
	}
	version, held := l.cfg.Held()
	if held {
		l.eras.observe(time.Now(), version.Era)
	}
	return held
}

// acquire takes the lease if no node holds it.
func (l *Leaser) acquire(ctx context.Context, durations Durations) (Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, durations.TTL)
	defer cancel()
	entry, err := l.cfg.Store.Get(ctx, l.cfg.Key)
	if err == nil {
		l.eras.observe(time.Now(), entry.Era)
		return Lease{}, storer.ErrConflict
	}
	if !errors.Is(err, storer.ErrNotFound) {
		return Lease{}, err
	}
	sentAt, bootDeadline := time.Now(), newBootDeadline(l.cfg.SinceBoot, durations.TTL-durations.safetyMargin())
	l.granted, err = l.cfg.Store.Grant(ctx, durations.TTL)
	if err != nil {
		return Lease{}, err
	}
	l.eras.observe(time.Now(), l.granted.Era)
	if l.value, err = json.Marshal(leaseRecord{Node: l.cfg.Node, Token: rand.Text()}); err != nil {
		return Lease{}, err
	}
	fencing, err := l.createKey(ctx)
	if err != nil {
		l.release(durations)
		return Lease{}, err
	}
	now := time.Now()
	lease := Lease{
		Fencing:      fencing,
		StartsAt:     l.startsAt(now, durations),
		Deadline:     sentAt.Add(durations.TTL - durations.safetyMargin()),
		bootDeadline: bootDeadline,
	}
	lease.PriorOrdersExpireAt = later(now, lease.StartsAt).Add(durations.priorOrders())
	return lease, nil
}

// startsAt returns when the leases that the store lost in a restore have expired on
// their holders, or zero if there can be none.
func (l *Leaser) startsAt(now time.Time, durations Durations) time.Time {
	expired := l.eras.firstSeen.Add(durations.TTL)
	// If this node held the lease until the restore, no other node did.
	if l.granted.Era == 0 || l.granted.Era == l.heldUntil || !expired.After(now) {
		return time.Time{}
	}
	return expired
}

// createKey writes the lease key and returns the fencing number. If the write fails, it
// reads the key back: the write succeeded and only its response was lost if the stored
// token matches.
func (l *Leaser) createKey(ctx context.Context) (uint64, error) {
	version, putErr := l.cfg.Store.Put(ctx, l.cfg.Key, l.value, storer.PutOptions{LeaseID: l.granted.ID})
	if putErr != nil {
		entry, err := l.cfg.Store.Get(ctx, l.cfg.Key)
		if err != nil || !bytes.Equal(entry.Value, l.value) {
			return 0, putErr
		}
		version = entry.Version()
	}
	if version.Era != l.granted.Era || version.Era != l.eras.last {
		// The ID of the lease may belong to another node in the new era.
		return 0, fmt.Errorf("write lease key: lease is of era %d, the store is in era %d", l.granted.Era, version.Era)
	}
	return FencingNumber(version)
}

// renewUntilLost renews the lease until it is lost, its deadline passes or ctx
// is done.
func (l *Leaser) renewUntilLost(ctx context.Context, durations Durations, lease Lease) {
	wait := durations.renewInterval()
	for !lease.expired(time.Now()) {
		pauser.Pause(ctx, min(wait, time.Until(lease.Deadline)))
		if ctx.Err() != nil {
			l.release(durations)
			return
		}
		sentAt, bootDeadline := time.Now(), newBootDeadline(l.cfg.SinceBoot, durations.TTL-durations.safetyMargin())
		if lease.expired(sentAt) {
			return
		}
		renewed, err := l.renew(ctx, earlier(lease.Deadline, sentAt.Add(durations.renewTimeout())))
		switch {
		case err == nil && renewed.Era != l.granted.Era:
			l.observeEnd(lease, renewed.Era)
			l.release(durations)
			return
		case err == nil:
			lease.Deadline, lease.bootDeadline = sentAt.Add(durations.TTL-durations.safetyMargin()), bootDeadline
			l.setLease(lease)
			wait = durations.renewInterval()
		case errors.Is(err, storer.ErrLeaseGone):
			l.observeEnd(lease, renewed.Era)
			return
		default:
			l.cfg.Log.WithError(err).Debug("failed to renew lease")
			wait = durations.retryInterval()
		}
	}
}

// observeEnd records that the store, which is in an era, no longer has the lease.
func (l *Leaser) observeEnd(lease Lease, era uint64) {
	now := time.Now()
	l.eras.observe(now, era)
	if lease.Valid(now) && era == l.granted.Era+1 {
		l.heldUntil = era
	}
}

// renew extends the lease in the store. The caller keeps the old deadline if no
// response arrives: the lease may then last longer in the store than on this
// node, but never shorter.
func (l *Leaser) renew(ctx context.Context, deadline time.Time) (storer.Lease, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return l.cfg.Store.Renew(ctx, l.granted)
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
