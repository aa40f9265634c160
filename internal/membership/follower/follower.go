// Package follower replicates the keys under one prefix of the platform's
// key-value store: it lists them once and then watches for changes.
package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"gentianstep.example/gentianstep/internal/operating/pauser"
	"gentianstep.example/gentianstep/internal/platform/storer"
)

const (
	// minBackoff and maxBackoff bound the back-off after a failed call, before
	// jitter. Retrying faster does not bring an unavailable store back, and all
	// VMs reconnect to it at the same time once it recovers.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// probeWait is the long-poll timeout of a watch after a failed one. A longer one
	// delays the next attempt if it gets no response either.
	probeWait = 100 * time.Millisecond
)

// Sink receives the entries and changes that a Follower reads.
type Sink interface {
	// Replace is called with a snapshot: all entries of a prefix as of a version.
	Replace(now time.Time, prefix string, entries []storer.Entry, version storer.Version)
	// Apply is called with the changes up to a version. The list is empty if
	// nothing changed until the watch timed out.
	Apply(now time.Time, prefix string, changes []storer.Change, version storer.Version)
	// HandleCall is called before a call to the store. It may last up to wait if
	// nothing changes.
	HandleCall(now time.Time, prefix string, wait time.Duration)
	// HandleError is called when a call to the store fails.
	HandleError(now time.Time, prefix string, err error)
	// Version returns the version up to which the sink has the entries of a prefix.
	Version(prefix string) storer.Version
}

// Config holds the dependencies and settings of a Follower.
type Config struct {
	Feed   storer.Feed
	Prefix string
	Sink   Sink
	// Wait is the long-poll timeout of one call of Feed.Changes.
	Wait time.Duration
	// CoalesceInterval is the pause after a call that returned changes, which
	// coalesces frequent changes into fewer calls.
	CoalesceInterval time.Duration
	// Pace, if not nil, returns Wait and CoalesceInterval for the next call.
	Pace func() Pace
	// SuppliedUntil, if not nil, returns the time until which the sink gets the
	// changes from elsewhere, so that the store is not called.
	SuppliedUntil func() time.Time
}

// Pace holds the times of calls.
type Pace struct {
	Wait             time.Duration
	CoalesceInterval time.Duration
}

func (c Config) pace() Pace {
	if c.Pace != nil {
		return c.Pace()
	}
	return Pace{c.Wait, c.CoalesceInterval}
}

// Follower keeps a Sink in sync with the store.
type Follower struct {
	cfg Config
}

// New returns a Follower.
func New(cfg Config) *Follower { return &Follower{cfg: cfg} }

// Run takes a snapshot of the prefix and follows its changes until ctx is done.
// It takes a new snapshot whenever the store has dropped the history it needs.
func (f *Follower) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		f.cfg.Sink.HandleCall(time.Now(), f.cfg.Prefix, 0)
		entries, version, err := f.cfg.Feed.Snapshot(ctx, f.cfg.Prefix)
		if err != nil {
			f.handleError(ctx, err, &backoff)
			continue
		}
		backoff = minBackoff
		f.cfg.Sink.Replace(time.Now(), f.cfg.Prefix, entries, version)
		f.watch(ctx, version)
	}
}

// watch passes changes after version to the sink. It returns when ctx is done
// or the store no longer has the history, so that a new snapshot is needed.
func (f *Follower) watch(ctx context.Context, version storer.Version) {
	backoff, failed := minBackoff, false
	for ctx.Err() == nil {
		if f.waitWhileSupplied(ctx) {
			if supplied := f.cfg.Sink.Version(f.cfg.Prefix); supplied.After(version) {
				version = supplied
			}
			backoff = minBackoff
		}
		pace := f.cfg.pace()
		if failed {
			pace.Wait = min(pace.Wait, probeWait)
		}
		f.cfg.Sink.HandleCall(time.Now(), f.cfg.Prefix, pace.Wait)
		changes, next, err := f.cfg.Feed.Changes(ctx, f.cfg.Prefix, version, pace.Wait)
		if errors.Is(err, storer.ErrHistoryGone) {
			return
		}
		failed = err != nil
		if failed {
			f.handleError(ctx, err, &backoff)
			continue
		}
		backoff = minBackoff
		version = next
		f.cfg.Sink.Apply(time.Now(), f.cfg.Prefix, changes, version)
		if len(changes) > 0 {
			pauser.Pause(ctx, pace.CoalesceInterval)
		}
	}
}

// waitWhileSupplied waits until the sink no longer gets the changes from elsewhere, and
// reports whether it did.
func (f *Follower) waitWhileSupplied(ctx context.Context) bool {
	waited := false
	for f.cfg.SuppliedUntil != nil && ctx.Err() == nil {
		left := time.Until(f.cfg.SuppliedUntil())
		if left <= 0 {
			break
		}
		waited = true
		pauser.Pause(ctx, left)
	}
	return waited
}

// handleError reports a failed call to the sink, waits for the back-off with a
// jitter of 50% either way, and doubles the back-off up to its maximum.
func (f *Follower) handleError(ctx context.Context, err error, backoff *time.Duration) {
	if ctx.Err() != nil {
		return
	}
	f.cfg.Sink.HandleError(time.Now(), f.cfg.Prefix, err)
	pauser.Pause(ctx, *backoff/2+rand.N(*backoff))
	*backoff = min(2**backoff, maxBackoff)
}
