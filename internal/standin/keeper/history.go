package keeper

import (
	"slices"
	"strings"
	"time"

	"gentianstep.example/gentianstep/internal/platform/storer"
)

// maxHistory is the number of changes that a Keeper retains.
const maxHistory = 1 << 14

// history is the list of changes after a revision, in the order of their revisions.
type history struct {
	start   uint64
	changes []storer.Change
}

// add appends a change. If there are too many, the older half is dropped.
func (h *history) add(c storer.Change) {
	if len(h.changes) == maxHistory {
		h.start = h.changes[maxHistory/2-1].Revision
		h.changes = slices.Clone(h.changes[maxHistory/2:])
	}
	h.changes = append(h.changes, c)
}

func (h *history) clone() history {
	return history{start: h.start, changes: slices.Clone(h.changes)}
}

// Changes is the result of a query of the history.
type Changes struct {
	// Found are the changes of the prefix, in the order of their revisions.
	Found []storer.Change
	// Revision is the revision of the latest change of any key.
	Revision uint64
	// Next is closed at the next change of any key.
	Next <-chan struct{}
}

// Changes returns the changes of a prefix after a revision. The error is ErrHistoryGone
// if the history does not reach back to it.
func (k *Keeper) Changes(prefix string, after uint64) (Changes, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLeases(time.Now())
	if after < k.history.start {
		return Changes{}, storer.ErrHistoryGone
	}
	result := Changes{Revision: k.revision, Next: k.changed}
	for _, c := range k.history.changes {
		if c.Revision > after && strings.HasPrefix(c.Key, prefix) {
			result.Found = append(result.Found, c)
		}
	}
	return result, nil
}

// Snapshot returns the entries of a prefix, ordered by key, and the current revision.
func (k *Keeper) Snapshot(prefix string) ([]storer.Entry, uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLeases(time.Now())
	return k.list(prefix), k.revision
}

// Compact drops the history and wakes the waiting watches.
func (k *Keeper) Compact() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLeases(time.Now())
	k.history = history{start: k.revision}
	k.notifyWatchers()
}
