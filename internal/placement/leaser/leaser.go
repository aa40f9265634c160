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

	"gentianstep.example/gentianstep/internal/operating/pauser"
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
	if err := json.Unmarshal(value, &record); err != nil {
		return "", fmt.Errorf("decode value of lease key: %w", err)
	}
	return record.Node, nil
}

// Leaser acquires and renews one lease.
type Leaser struct {
	cfg     Config
	leaseID uint64

	mu    sync.Mutex
	lease Lease
}

// New returns a Leaser that does not hold its lease.
func New(cfg Config) *Leaser {
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
			l.cfg.Log.WithError(err).Debug("failed to acquire lease")
			pauser.Pause(ctx, durations.TTL/2+mathrand.N(durations.TTL/2))
			continue
		}
		l.setLease(lease)
		l.cfg.Log.WithField("event", "lease_taken").WithField("fencing", lease.Fencing).Info("lease acquired")
		l.renewUntilLost(ctx, durations, lease)
		l.setLease(Lease{})
		l.cfg.Log.WithField("event", "lease_ended").WithField("fencing", lease.Fencing).Info("lease released or lost")
	}
}

// startDelay returns how long a node waits after its start. Nodes that start at the same
// time must not all try at once; with an AcquireDelay, they must know of each other.
func (l *Leaser) startDelay(durations Durations) time.Duration {
	if l.cfg.AcquireDelay != nil {
		return durations.TTL / 2
	}
	return mathrand.N(durations.TTL / 2)
}

func (l *Leaser) heldElsewhere() bool { return l.cfg.HeldElsewhere != nil && l.cfg.HeldElsewhere() }

// acquire takes the lease if no node holds it.
func (l *Leaser) acquire(ctx context.Context, durations Durations) (Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, durations.TTL)
	defer cancel()
	_, err := l.cfg.Store.Get(ctx, l.cfg.Key)
	if err == nil {
		return Lease{}, storer.ErrConflict
	}
	if !errors.Is(err, storer.ErrNotFound) {
		return Lease{}, err
	}
	sentAt, deadlineSinceBoot := time.Now(), bootDeadline(durations.TTL-durations.safetyMargin())
	granted, err := l.cfg.Store.Grant(ctx, durations.TTL)
	if err != nil {
		return Lease{}, err
	}
	l.leaseID = granted.ID
	value, err := json.Marshal(leaseRecord{Node: l.cfg.Node, Token: rand.Text()})
	if err != nil {
		return Lease{}, err
	}
	version, err := l.createKey(ctx, value)
	if err != nil {
		l.release(durations)
		return Lease{}, err
	}
	return Lease{
		Fencing:             version.Revision,
		Deadline:            sentAt.Add(durations.TTL - durations.safetyMargin()),
		deadlineSinceBoot:   deadlineSinceBoot,
		PriorOrdersExpireAt: time.Now().Add(durations.TTL + durations.OrderTimeout),
	}, nil
}

// createKey writes the lease key. If the write fails, it reads the key back:
// the write succeeded and only its response was lost if the stored token
// matches.
func (l *Leaser) createKey(ctx context.Context, value []byte) (storer.Version, error) {
	version, putErr := l.cfg.Store.Put(ctx, l.cfg.Key, value, storer.PutOptions{LeaseID: l.leaseID})
	if putErr == nil {
		return version, nil
	}
	entry, err := l.cfg.Store.Get(ctx, l.cfg.Key)
	if err == nil && bytes.Equal(entry.Value, value) {
		return entry.Version(), nil
	}
	return storer.Version{}, putErr
}

// renewUntilLost renews the lease until it is lost, its deadline passes or ctx
// is done.
func (l *Leaser) renewUntilLost(ctx context.Context, durations Durations, lease Lease) {
	wait := durations.renewInterval()
	for lease.Valid(time.Now()) {
		pauser.Pause(ctx, min(wait, time.Until(lease.Deadline)))
		if ctx.Err() != nil {
			l.release(durations)
			return
		}
		sentAt, deadlineSinceBoot := time.Now(), bootDeadline(durations.TTL-durations.safetyMargin())
		if !lease.Valid(sentAt) {
			return
		}
		err := l.renew(ctx, earlier(lease.Deadline, sentAt.Add(durations.renewTimeout())))
		switch {
		case err == nil:
			lease.Deadline, lease.deadlineSinceBoot = sentAt.Add(durations.TTL-durations.safetyMargin()), deadlineSinceBoot
			l.setLease(lease)
			wait = durations.renewInterval()
		case errors.Is(err, storer.ErrLeaseGone):
			return
		default:
			l.cfg.Log.WithError(err).Debug("failed to renew lease")
			wait = durations.retryInterval()
		}
	}
}

// renew extends the lease in the store. The caller keeps the old deadline if no
// response arrives: the lease may then last longer in the store than on this
// node, but never shorter.
func (l *Leaser) renew(ctx context.Context, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	_, err := l.cfg.Store.Renew(ctx, l.leaseID)
	return err
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// release revokes the lease, so that another node can acquire it without
// waiting for it to expire.
func (l *Leaser) release(durations Durations) {
	l.setLease(Lease{})
	ctx, cancel := context.WithTimeout(context.Background(), durations.safetyMargin())
	defer cancel()
	_ = l.cfg.Store.Revoke(ctx, l.leaseID)
}
