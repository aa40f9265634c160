package storer

import (
	"context"
	"errors"
	"time"
)

// Change is one write to a key of a watched prefix.
type Change struct {
	Entry
	// Removed is true if the key was deleted; the entry then has no value.
	Removed bool
}

// Feed provides snapshots and changes of all keys of a prefix.
type Feed interface {
	// Snapshot returns the entries of a prefix and a revision from which Changes
	// returns every later write. Entries may be newer than the revision.
	Snapshot(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Changes returns the writes above revision after and the revision to
	// continue from. It blocks for up to wait until there is a write; having none
	// by then is not an error. After ErrHistoryGone a new snapshot is required.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
}

// ErrHistoryGone reports a revision whose history the service has discarded.
var ErrHistoryGone = errors.New("history is no longer available")
