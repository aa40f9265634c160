package claimer

import (
	"context"
	"sync"
	"time"

	"gentianstep.example/gentianstep/internal/platform/storer"
)

const (
	// keepClaims is the shortest time that a claim is kept.
	keepClaims = 24 * time.Hour
	// leaseSpan is how long one lease takes new claims.
	leaseSpan = time.Hour
)

// leases groups the claims of one span under one lease that is never renewed,
// so that the store removes old claims by itself.
type leases struct {
	store storer.Store

	mu    sync.Mutex
	id    uint64
	until time.Time
}

// current returns the lease of new claims, granting one where needed.
func (l *leases) current(ctx context.Context, now time.Time) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id != 0 && now.Before(l.until) {
		return l.id, nil
	}
	lease, err := l.store.Grant(ctx, keepClaims+leaseSpan)
	if err != nil {
		return 0, err
	}
	l.id = lease.ID
	l.until = now.Add(leaseSpan)
	return l.id, nil
}

// forget drops a lease that the store no longer knows.
func (l *leases) forget(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.id = 0
	}
}
