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
	// isUsed reports whether the value of an entry is of use, nil if all are. The others
	// are neither kept nor passed on to other VMs, however large they are.
	isUsed func(storer.Entry) bool
}

func newReplica(isUsed func(storer.Entry) bool) *replica {
	return &replica{entries: make(map[string]storer.Entry), isUsed: isUsed}
}

// replace applies a snapshot and returns the resulting changes. A snapshot of an older
// version than the replica's is ignored. Entries after its version are kept: the replica
// has them from a snapshot of several pages, which has the version of the first.
func (r *replica) replace(entries []storer.Entry, version storer.Version) []storer.Change {
	if r.version.After(version) {
		return nil
	}
	r.version = version
	listed := make(map[string]bool, len(entries))
	var changes, logged []storer.Change
	for _, e := range entries {
		listed[e.Key] = true
		if kept, changed := r.put(e); changed {
			changes, logged = append(changes, storer.Change{Entry: e}), append(logged, storer.Change{Entry: kept})
		}
	}
	for key, known := range r.entries {
		if !listed[key] && !known.Version().After(version) {
			delete(r.entries, key)
			changes, logged = append(changes, removal(key, version)), append(logged, removal(key, version))
		}
	}
	r.log.add(logged)
	return changes
}

// apply applies changes in order and returns those that were not applied before. The
// response to a watch may arrive after later changes from another VM.
func (r *replica) apply(changes []storer.Change, version storer.Version) []storer.Change {
	var applied, logged []storer.Change
	for _, c := range newer(changes, r.version) {
		kept, changed := c.Entry, false
		if c.Removed {
			changed = r.remove(c)
		} else {
			kept, changed = r.put(c.Entry)
		}
		if changed {
			applied, logged = append(applied, c), append(logged, storer.Change{Entry: kept, Removed: c.Removed})
		}
	}
	if version.After(r.version) {
		r.version = version
	}
	r.log.add(logged)
	return applied
}

// put stores an entry that is newer than the known one. It returns what it has stored, and
// whether that differs from the known one. Entries that a restored copy of the store has
// unchanged do not differ.
func (r *replica) put(e storer.Entry) (kept storer.Entry, changed bool) {
	known, ok := r.entries[e.Key]
	if ok && !e.Version().After(known.Version()) {
		return known, false
	}
	if r.isUsed != nil && !r.isUsed(e) {
		e.Value = nil
	}
	r.entries[e.Key] = e
	return e, !ok || known.Era == e.Era || !bytes.Equal(known.Value, e.Value) || known.LeaseID != e.LeaseID
}

// remove removes an entry and reports whether there was one before the change.
func (r *replica) remove(c storer.Change) bool {
	known, ok := r.entries[c.Key]
	if !ok || !c.Version().After(known.Version()) {
		return false
	}
	delete(r.entries, c.Key)
	return true
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
