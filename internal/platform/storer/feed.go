package storer

import (
	"context"
	"errors"
	"time"
)

// Change is one write to a followed prefix.
type Change struct {
	Entry
	// Removed is true where the key is gone; the entry then has no value.
	Removed bool
}

// Feed lets a process follow all keys of a prefix.
type Feed interface {
	// Snapshot returns the entries of a prefix and a revision from which
	// Changes misses nothing. Entries may be newer than the revision.
	Snapshot(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Changes returns what was written above revision after, as soon as there
	// is something, and the revision to continue from. Nothing within wait is
	// no error. ErrHistoryGone asks for a new snapshot.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
}

// ErrHistoryGone reports a revision whose history the service has dropped.
var ErrHistoryGone = errors.New("history is no longer available")
