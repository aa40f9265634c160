package informer

import (
	"bytes"

	"gentianstep.example/gentianstep/internal/platform/storer"
)

// Replica is a copy of all entries under a prefix at a version.
type Replica struct {
	Prefix   string         `cbor:"1,keyasint"`
	Revision uint64         `cbor:"2,keyasint"`
	Entries  []storer.Entry `cbor:"3,keyasint"`
	Era      uint64         `cbor:"4,keyasint,omitempty"`
}

// Version returns the version of the store that the replica is a copy of.
func (r Replica) Version() storer.Version { return storer.Version{Era: r.Era, Revision: r.Revision} }

// replica is the mutable form of a Replica. It is not safe for concurrent use.
type replica struct {
	version storer.Version
	entries map[string]storer.Entry
	log     changeLog
}

func newReplica() *replica { return &replica{entries: make(map[string]storer.Entry)} }

// replace applies a snapshot and returns the resulting changes. A snapshot of an older
// version than the replica's is ignored. Entries after its version are kept: the replica
// has them from a snapshot of several pages, which has the version of the first.
func (r *replica) replace(entries []storer.Entry, version storer.Version) []storer.Change {
	if r.version.After(version) {
		return nil
	}
	r.version = version
	listed := make(map[string]bool, len(entries))
	var changes []storer.Change
	for _, e := range entries {
		listed[e.Key] = true
		if r.put(e) {
			changes = append(changes, storer.Change{Entry: e})
		}
	}
	for key, known := range r.entries {
		if !listed[key] && !known.Version().After(version) {
			delete(r.entries, key)
			changes = append(changes, removal(key, version))
		}
	}
	r.log.add(changes)
	return changes
}

// apply applies changes in order and returns those that were not applied before. The
// response to a watch may arrive after later changes from another VM.
func (r *replica) apply(changes []storer.Change, version storer.Version) []storer.Change {
	applied := make([]storer.Change, 0, len(changes))
	for _, c := range newer(changes, r.version) {
		known, ok := r.entries[c.Key]
		switch {
		case !c.Removed && !r.put(c.Entry):
			continue
		case c.Removed && (!ok || !c.Version().After(known.Version())):
			continue
		case c.Removed:
			delete(r.entries, c.Key)
		}
		applied = append(applied, c)
	}
	if version.After(r.version) {
		r.version = version
	}
	r.log.add(applied)
	return applied
}

// put stores an entry that is newer than the known one and reports whether it differs
// from it. Entries that a restored copy of the store has unchanged do not differ.
func (r *replica) put(e storer.Entry) bool {
	known, ok := r.entries[e.Key]
	if ok && !e.Version().After(known.Version()) {
		return false
	}
	r.entries[e.Key] = e
	return !ok || known.Era == e.Era || !bytes.Equal(known.Value, e.Value) || known.LeaseID != e.LeaseID
}

// removal returns the removal of a key at a version.
func removal(key string, version storer.Version) storer.Change {
	return storer.Change{Entry: storer.Entry{Key: key, Era: version.Era, Revision: version.Revision}, Removed: true}
}

func (r *replica) snapshot(prefix string) Replica {
	s := Replica{Prefix: prefix, Era: r.version.Era, Revision: r.version.Revision, Entries: make([]storer.Entry, 0, len(r.entries))}
	for _, e := range r.entries {
		s.Entries = append(s.Entries, e)
	}
	return s
}
