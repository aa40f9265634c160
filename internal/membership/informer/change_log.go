package informer

import "gentianstep.example/gentianstep/internal/platform/storer"

// maxLoggedChanges and maxLoggedBytes bound the changes that a replica keeps. A VM that
// lacks more of them receives the entries that are newer than its own.
const (
	maxLoggedChanges = 1024
	maxLoggedBytes   = 1 << 20
)

// changeLog holds the latest changes of a replica, so that other VMs can be sent the
// changes that they lack.
type changeLog struct {
	changes []storer.Change
	// first is the position of the first of changes. Positions count all changes.
	first uint64
	// bytes is the size of the values of changes.
	bytes int
}

func (l *changeLog) add(changes []storer.Change) {
	l.changes = append(l.changes, changes...)
	for _, c := range changes {
		l.bytes += len(c.Value)
	}
	over := 0
	for len(l.changes)-over > maxLoggedChanges || l.bytes > maxLoggedBytes {
		l.bytes -= len(l.changes[over].Value)
		over++
	}
	if over > 0 {
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
