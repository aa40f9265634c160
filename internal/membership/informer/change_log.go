package informer

import "gentianstep.example/gentianstep/internal/platform/storer"

// maxLoggedChanges bounds the changes that a replica keeps. A VM that lacks more of
// them receives all entries.
const maxLoggedChanges = 1024

// changeLog holds the latest changes of a replica, so that other VMs can be sent the
// changes that they lack.
type changeLog struct {
	changes []storer.Change
	// first is the position of the first of changes. Positions count all changes.
	first uint64
}

func (l *changeLog) add(changes []storer.Change) {
	l.changes = append(l.changes, changes...)
	if over := len(l.changes) - maxLoggedChanges; over > 0 {
		l.changes = append([]storer.Change(nil), l.changes[over:]...)
		l.first += uint64(over)
	}
}

// end returns the position after the last change.
func (l *changeLog) end() uint64 { return l.first + uint64(len(l.changes)) }

// since returns the changes from a position on, or false if the log no longer holds
// all of them.
func (l *changeLog) since(position uint64) ([]storer.Change, bool) {
	if position < l.first || position > l.end() {
		return nil, false
	}
	return l.changes[position-l.first:], true
}
