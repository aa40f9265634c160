package keeper

import (
	"context"

	"golang.org/x/time/rate"

	"gentianstep.example/gentianstep/internal/platform/storer"
)

// Watch implements storer.Store.
func (f *Faulty) Watch(ctx context.Context, key string, after storer.Version) (storer.Entry, error) {
	err := f.injectRequestFaults(ctx, &f.calls.Watches, func() *rate.Limiter { return f.readLimiter })
	if err != nil {
		return storer.Entry{}, err
	}
	generation := f.currentSilenceGeneration()
	watchCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go f.cancelWhenRefused(watchCtx, cancel)
	entry, err := f.store.Watch(watchCtx, key, after)
	if f.currentSilenceGeneration() != generation || f.watchesSilent() {
		<-ctx.Done()
		return storer.Entry{}, ctx.Err()
	}
	if err != nil && ctx.Err() == nil && watchCtx.Err() != nil {
		return storer.Entry{}, context.Cause(watchCtx)
	}
	return entry, err
}

// cancelWhenRefused cancels a pending watch when the faults start to refuse calls.
func (f *Faulty) cancelWhenRefused(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		f.mu.Lock()
		refused, changed := f.faults.Refuse, f.changed
		f.mu.Unlock()
		if refused {
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

func (f *Faulty) currentSilenceGeneration() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silenceGeneration
}

func (f *Faulty) watchesSilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults.SilentWatches
}
