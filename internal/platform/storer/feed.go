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
	// Snapshot returns the entries of a prefix and a version from which Changes
	// returns every later write. Entries may be newer than the version.
	Snapshot(ctx context.Context, prefix string) ([]Entry, Version, error)
	// Changes returns the writes after a version and the version to continue from. It
	// blocks for up to wait until there is a write; having none by then is not an
	// error. After ErrHistoryGone a new snapshot is required.
	Changes(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Change, Version, error)
}

// ErrHistoryGone reports a version whose history the service does not have, because it
// discarded it or started a new era.
var ErrHistoryGone = errors.New("history is no longer available")
