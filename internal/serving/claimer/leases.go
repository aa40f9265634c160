package claimer

import (
	"context"
	"sync"
	"time"

	"gentianstep.example/gentianstep/internal/platform/storer"
)

const (
	// minRetention is the minimum time for which a claim is kept.
	minRetention = 24 * time.Hour
	// leaseReuse is the time for which new claims use the same lease.
	leaseReuse = time.Hour
)

// leaseCache caches the lease of new claims. All claims of a leaseReuse interval
// share one lease, which is never renewed, so that the store expires old claims.
type leaseCache struct {
	store storer.Store

	mu         sync.Mutex
	id         uint64
	reuseUntil time.Time
}

// get returns the ID of the lease for new claims. It grants a new lease if the
// cached one is discarded or too old.
func (l *leaseCache) get(ctx context.Context, now time.Time) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id != 0 && now.Before(l.reuseUntil) {
		return l.id, nil
	}
	lease, err := l.store.Grant(ctx, minRetention+leaseReuse)
	if err != nil {
		return 0, err
	}
	l.id = lease.ID
	l.reuseUntil = now.Add(leaseReuse)
	return l.id, nil
}

// discard removes a lease that no longer exists in the store from the cache.
func (l *leaseCache) discard(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.id = 0
	}
}
