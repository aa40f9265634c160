package keeper

import (
	"context"

	"golang.org/x/time/rate"

	"gentianstep.example/gentianstep/internal/platform/storer"
)

// Watch implements storer.Store.
func (f *Faulty) Watch(ctx context.Context, key string, after uint64) (storer.Entry, error) {
	err := f.enter(ctx, &f.calls.Watches, func() *rate.Limiter { return f.reads })
	if err != nil {
		return storer.Entry{}, err
	}
	silences := f.silenceCount()
	wait, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go f.run(wait, cancel)
	entry, err := f.store.Watch(wait, key, after)
	if f.silenceCount() != silences || f.silent() {
		<-ctx.Done()
		return storer.Entry{}, ctx.Err()
	}
	if err != nil && ctx.Err() == nil && wait.Err() != nil {
		return storer.Entry{}, context.Cause(wait)
	}
	return entry, err
}

// run ends a waiting watch when the service goes down.
func (f *Faulty) run(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		f.mu.Lock()
		down, changed := f.faults.Refuse, f.changed
		f.mu.Unlock()
		if down {
			cancel(ErrUnavailable)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (f *Faulty) silenceCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silences
}

func (f *Faulty) silent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults.SilentWatches
}
