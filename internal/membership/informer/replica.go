package informer

import (
	"gentianstep.example/gentianstep/internal/platform/storer"
)

// Replica is a copy of all entries under a prefix at a revision.
type Replica struct {
	Prefix   string         `cbor:"1,keyasint"`
	Revision uint64         `cbor:"2,keyasint"`
	Entries  []storer.Entry `cbor:"3,keyasint"`
}

// replica is the mutable form of a Replica. It is not safe for concurrent use.
type replica struct {
	revision uint64
	entries  map[string]storer.Entry
	log      changeLog
}

func newReplica() *replica { return &replica{entries: make(map[string]storer.Entry)} }

// replace applies a snapshot and returns the resulting changes. A snapshot with a
// lower revision than the replica's is ignored.
func (r *replica) replace(entries []storer.Entry, revision uint64) []storer.Change {
	if revision < r.revision {
		return nil
	}
	r.revision = revision
	listed := make(map[string]bool, len(entries))
	var changes []storer.Change
	for _, e := range entries {
		listed[e.Key] = true
		if e.Revision > r.entries[e.Key].Revision {
			r.entries[e.Key] = e
			changes = append(changes, storer.Change{Entry: e})
		}
	}
	for key := range r.entries {
		if !listed[key] {
			delete(r.entries, key)
			changes = append(changes, storer.Change{Entry: storer.Entry{Key: key, Revision: revision}, Removed: true})
		}
	}
	r.log.add(changes)
	return changes
}

// apply applies changes in order and returns those that were not applied before.
func (r *replica) apply(changes []storer.Change, revision uint64) []storer.Change {
	var applied []storer.Change
	for _, c := range changes {
		known, ok := r.entries[c.Key]
		if ok && c.Revision <= known.Revision || !ok && c.Removed {
			continue
		}
		if c.Removed {
			delete(r.entries, c.Key)
		} else {
			r.entries[c.Key] = c.Entry
		}
		applied = append(applied, c)
	}
	r.revision = max(r.revision, revision)
	r.log.add(applied)
	return applied
}

func (r *replica) snapshot(prefix string) Replica {
	s := Replica{Prefix: prefix, Revision: r.revision, Entries: make([]storer.Entry, 0, len(r.entries))}
	for _, e := range r.entries {
		s.Entries = append(s.Entries, e)
	}
	return s
}
