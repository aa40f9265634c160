// Package follower follows the keys of one prefix of the platform's store.
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
	// firstRetry and lastRetry bound the wait after a failed call. A store that
	// is away answers nobody sooner, and all VMs come back to it at once.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 800 * time.Millisecond
)

// Sink takes what a Follower reads.
type Sink interface {
	// Replace takes all entries of a prefix as of a revision.
	Replace(now time.Time, prefix string, entries []storer.Entry, revision uint64)
	// Apply takes the changes up to a revision, none where there were none.
	Apply(now time.Time, prefix string, changes []storer.Change, revision uint64)
	// Failed takes the failure of a call.
	Failed(now time.Time, prefix string, err error)
}

// Config holds what a Follower is built from.
type Config struct {
	Feed   storer.Feed
	Prefix string
	Sink   Sink
	// Wait is how long one call waits for a change.
	Wait time.Duration
	// Pace is the pause after changes, so that frequent ones come together.
	Pace time.Duration
}

// Follower keeps a Sink up to date.
type Follower struct {
	cfg Config
}

// New returns a Follower.
func New(cfg Config) *Follower { return &Follower{cfg: cfg} }

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	retry := firstRetry
	for ctx.Err() == nil {
		entries, revision, err := f.cfg.Feed.Snapshot(ctx, f.cfg.Prefix)
		if err != nil {
			f.fail(ctx, err, &retry)
			continue
		}
		retry = firstRetry
		f.cfg.Sink.Replace(time.Now(), f.cfg.Prefix, entries, revision)
		f.follow(ctx, revision)
	}
}

// follow returns when a new snapshot is needed.
func (f *Follower) follow(ctx context.Context, revision uint64) {
	retry := firstRetry
	for ctx.Err() == nil {
		changes, next, err := f.cfg.Feed.Changes(ctx, f.cfg.Prefix, revision, f.cfg.Wait)
		if errors.Is(err, storer.ErrHistoryGone) {
			return
		}
		if err != nil {
			f.fail(ctx, err, &retry)
			continue
		}
		retry = firstRetry
		revision = next
		f.cfg.Sink.Apply(time.Now(), f.cfg.Prefix, changes, revision)
		if len(changes) > 0 {
			pauser.Pause(ctx, f.cfg.Pace)
		}
	}
}

func (f *Follower) fail(ctx context.Context, err error, retry *time.Duration) {
	if ctx.Err() != nil {
		return
	}
	f.cfg.Sink.Failed(time.Now(), f.cfg.Prefix, err)
	pauser.Pause(ctx, *retry/2+rand.N(*retry))
	*retry = min(2**retry, lastRetry)
}
