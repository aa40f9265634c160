package keeper

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"gentianstep.example/gentianstep/internal/platform/storer"
)

// Errors of injected faults. Callers must treat the outcome of a write as
// unknown after either one.
var (
	ErrUnavailable  = errors.New("service is unavailable")
	ErrResponseLost = errors.New("response was lost")
)

// Faulty wraps a store, injects faults and counts the calls. It implements
// storer.Store.
type Faulty struct {
	store storer.Store

	mu                sync.Mutex
	faults            Faults
	calls             Calls
	readLimiter       *rate.Limiter
	writeLimiter      *rate.Limiter
	silenceGeneration int
	changed           chan struct{}
}

var _ storer.Store = (*Faulty)(nil)

// NewFaulty returns a Faulty that injects no faults until Set is called.
func NewFaulty(store storer.Store) *Faulty {
	f := &Faulty{store: store, changed: make(chan struct{})}
	f.Set(Faults{})
	return f
}

// Set replaces the injected faults.
func (f *Faulty) Set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	f.readLimiter = newLimiter(faults.ReadsPerSecond)
	f.writeLimiter = newLimiter(faults.WritesPerSecond)
	if faults.SilentWatches {
		f.silenceGeneration++
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

// Calls returns the number of calls so far.
func (f *Faulty) Calls() Calls {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// injectRequestFaults counts a call, then delays or rejects it according to the
// faults.
func (f *Faulty) injectRequestFaults(ctx context.Context, count *uint64, limiter func() *rate.Limiter) error {
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

func (f *Faulty) beforeRead(ctx context.Context) error {
	return f.injectRequestFaults(ctx, &f.calls.Reads, func() *rate.Limiter { return f.readLimiter })
}

func (f *Faulty) beforeWrite(ctx context.Context) error {
	return f.injectRequestFaults(ctx, &f.calls.Writes, func() *rate.Limiter { return f.writeLimiter })
}

// injectResponseFaults replaces the result of a successful write with
// ErrResponseLost while lost responses are configured.
func (f *Faulty) injectResponseFaults(err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil || f.faults.LoseResponses == 0 {
		return err
	}
	f.faults.LoseResponses--
	return ErrResponseLost
}

// Get implements storer.Store.
func (f *Faulty) Get(ctx context.Context, key string) (storer.Entry, error) {
	if err := f.beforeRead(ctx); err != nil {
		return storer.Entry{}, err
	}
	return f.store.Get(ctx, key)
}

// Put implements storer.Store.
func (f *Faulty) Put(ctx context.Context, key string, value []byte, opts storer.PutOptions) (storer.Version, error) {
	if err := f.beforeWrite(ctx); err != nil {
		return storer.Version{}, err
	}
	version, err := f.store.Put(ctx, key, value, opts)
	return version, f.injectResponseFaults(err)
}

// Delete implements storer.Store.
func (f *Faulty) Delete(ctx context.Context, key string, ifVersion storer.Version) error {
	if err := f.beforeWrite(ctx); err != nil {
		return err
	}
	return f.injectResponseFaults(f.store.Delete(ctx, key, ifVersion))
}

// List implements storer.Store.
func (f *Faulty) List(ctx context.Context, prefix string) ([]storer.Entry, error) {
	if err := f.beforeRead(ctx); err != nil {
		return nil, err
	}
	return f.store.List(ctx, prefix)
}

// Grant implements storer.Store.
func (f *Faulty) Grant(ctx context.Context, ttl time.Duration) (storer.Lease, error) {
	if err := f.beforeWrite(ctx); err != nil {
		return storer.Lease{}, err
	}
	lease, err := f.store.Grant(ctx, ttl)
	return lease, f.injectResponseFaults(err)
}

// Renew implements storer.Store.
func (f *Faulty) Renew(ctx context.Context, lease storer.Lease) (storer.Lease, error) {
	if err := f.beforeWrite(ctx); err != nil {
		return storer.Lease{}, err
	}
	renewed, err := f.store.Renew(ctx, lease)
	return renewed, f.injectResponseFaults(err)
}

// Revoke implements storer.Store.
func (f *Faulty) Revoke(ctx context.Context, lease storer.Lease) error {
	if err := f.beforeWrite(ctx); err != nil {
		return err
	}
	return f.injectResponseFaults(f.store.Revoke(ctx, lease))
}
