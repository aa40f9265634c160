package keeper

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"gentianstep.example/gentianstep/internal/platform/storer"
)

// Errors of injected faults. Both leave the outcome of a write open.
var (
	ErrUnavailable = errors.New("service is unavailable")
	ErrAnswerLost  = errors.New("answer was lost")
)

// Faulty shows faults on the way to a store and counts the calls. It
// implements storer.Store.
type Faulty struct {
	store storer.Store

	mu       sync.Mutex
	faults   Faults
	calls    Calls
	reads    *rate.Limiter
	writes   *rate.Limiter
	silences int
	changed  chan struct{}
}

var _ storer.Store = (*Faulty)(nil)

// NewFaulty returns a Faulty without faults.
func NewFaulty(store storer.Store) *Faulty {
	f := &Faulty{store: store, changed: make(chan struct{})}
	f.Set(Faults{})
	return f
}

// Set replaces the faults.
func (f *Faulty) Set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	f.reads = newLimiter(faults.ReadsPerSecond)
	f.writes = newLimiter(faults.WritesPerSecond)
	if faults.SilentWatches {
		f.silences++
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Calls returns the calls so far.
func (f *Faulty) Calls() Calls {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// enter lets a call pass, late or not at all.
func (f *Faulty) enter(ctx context.Context, count *uint64, limiter func() *rate.Limiter) error {
	f.mu.Lock()
	*count++
	faults := f.faults
	allowed := limiter().Allow()
	f.mu.Unlock()
	if faults.Refuse {
		return ErrUnavailable
	}
	if !allowed {
		return storer.ErrRateLimited
	}
	if faults.DelayMillis == 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(faults.delay()):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *Faulty) read(ctx context.Context) error {
	return f.enter(ctx, &f.calls.Reads, func() *rate.Limiter { return f.reads })
}

func (f *Faulty) write(ctx context.Context) error {
	return f.enter(ctx, &f.calls.Writes, func() *rate.Limiter { return f.writes })
}

// leave loses the answer of a write that took effect, where that is asked for.
func (f *Faulty) leave(err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil || f.faults.LoseAnswers == 0 {
		return err
	}
	f.faults.LoseAnswers--
	return ErrAnswerLost
}

// Get implements storer.Store.
func (f *Faulty) Get(ctx context.Context, key string) (storer.Entry, error) {
	if err := f.read(ctx); err != nil {
		return storer.Entry{}, err
	}
	return f.store.Get(ctx, key)
}

// Put implements storer.Store.
func (f *Faulty) Put(ctx context.Context, key string, value []byte, opts storer.PutOptions) (uint64, error) {
	if err := f.write(ctx); err != nil {
		return 0, err
	}
	revision, err := f.store.Put(ctx, key, value, opts)
	return revision, f.leave(err)
}

// Delete implements storer.Store.
func (f *Faulty) Delete(ctx context.Context, key string, ifRevision uint64) error {
	if err := f.write(ctx); err != nil {
		return err
	}
	return f.leave(f.store.Delete(ctx, key, ifRevision))
}

// List implements storer.Store.
func (f *Faulty) List(ctx context.Context, prefix string) ([]storer.Entry, error) {
	if err := f.read(ctx); err != nil {
		return nil, err
	}
	return f.store.List(ctx, prefix)
}

// Grant implements storer.Store.
func (f *Faulty) Grant(ctx context.Context, ttl time.Duration) (storer.Lease, error) {
	if err := f.write(ctx); err != nil {
		return storer.Lease{}, err
	}
	lease, err := f.store.Grant(ctx, ttl)
	return lease, f.leave(err)
}

// Renew implements storer.Store.
func (f *Faulty) Renew(ctx context.Context, id uint64) (storer.Lease, error) {
	if err := f.write(ctx); err != nil {
		return storer.Lease{}, err
	}
	lease, err := f.store.Renew(ctx, id)
	return lease, f.leave(err)
}

// Revoke implements storer.Store.
func (f *Faulty) Revoke(ctx context.Context, id uint64) error {
	if err := f.write(ctx); err != nil {
		return err
	}
	return f.leave(f.store.Revoke(ctx, id))
}
