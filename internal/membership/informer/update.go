package informer

import (
	"errors"
	"time"

	"gentianstep.example/gentianstep/internal/platform/storer"
)

// Update brings the replica of a prefix on another VM up to date.
type Update struct {
	Prefix   string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	// Complete is true if Keys lists all keys of the prefix, so that the receiver
	// removes the others.
	Complete bool     `cbor:"3,keyasint,omitempty"`
	Keys     []string `cbor:"4,keyasint,omitempty"`
	// Changes are in order of their revisions.
	Changes []storer.Change `cbor:"5,keyasint,omitempty"`
	// AgeMillis is the time in milliseconds since the store last confirmed the
	// replica.
	AgeMillis int64 `cbor:"6,keyasint"`
	// RecoveredMillis is the time in milliseconds since the store became available
	// again after an outage, or 0 if there was none.
	RecoveredMillis int64 `cbor:"7,keyasint,omitempty"`
}

// Check returns an error for an update that no VM sends.
func (u Update) Check() error {
	if u.Prefix == "" {
		return errors.New("update: prefix is missing")
	}
	if u.AgeMillis < 0 || u.RecoveredMillis < 0 {
		return errors.New("update: age is negative")
	}
	return nil
}

// Position is how far another VM has been sent the changes of each prefix.
type Position map[string]uint64

// Updates returns what a VM lacks that has been sent the changes up to a position, or,
// if the position lacks a prefix, that holds replicas of the given revisions. It returns
// an update of each prefix, also without changes, and the next position.
func (i *Informer) Updates(now time.Time, sent Position, revisions map[string]uint64) ([]Update, Position) {
	i.mu.Lock()
	defer i.mu.Unlock()
	updates, next := make([]Update, 0, len(i.replicas)), make(Position, len(i.replicas))
	for _, prefix := range i.prefixes() {
		r := i.replicas[prefix]
		if i.snapshots[prefix] == 0 {
			continue
		}
		update := Update{Prefix: prefix, Revision: r.revision, AgeMillis: i.age(now, prefix).Milliseconds()}
		if at := i.recoveredAt[prefix]; !at.IsZero() {
			update.RecoveredMillis = max(now.Sub(at).Milliseconds(), 1)
		}
		position, known := sent[prefix]
		changes, logged := r.log.since(position)
		switch {
		case known && logged:
			update.Changes = changes
		case !known && r.revision <= revisions[prefix]:
		default:
			update.Complete, update.Keys, update.Changes = true, r.keys(), r.newerThan(revisions[prefix])
		}
		updates, next[prefix] = append(updates, update), r.log.end()
	}
	return updates, next
}

// age returns the time since the store last confirmed the replica of a prefix. The
// entries of VMs are confirmed with those of operators, since their watch waits for
// long. The caller must hold i.mu.
func (i *Informer) age(now time.Time, prefix string) time.Duration {
	if prefix == i.cfg.VMPrefix {
		prefix = i.cfg.OperatorPrefix
	}
	return max(now.Sub(i.lastResponseAt[prefix]), 0)
}

// ApplyUpdate applies an update that another VM has sent.
func (i *Informer) ApplyUpdate(now time.Time, u Update) {
	i.mu.Lock()
	defer i.mu.Unlock()
	r, ok := i.replicas[u.Prefix]
	if !ok {
		return
	}
	if u.RecoveredMillis > 0 {
		i.recordRecovery(u.Prefix, now.Add(-time.Duration(u.RecoveredMillis)*time.Millisecond))
	}
	if confirmedAt := now.Add(-time.Duration(u.AgeMillis) * time.Millisecond); u.Revision >= r.revision {
		i.recordOrigin(now, u.Prefix, sourceRelay, confirmedAt)
		i.lastResponseAt[u.Prefix] = latest(i.lastResponseAt[u.Prefix], confirmedAt)
	}
	if u.Revision <= r.revision && i.snapshots[u.Prefix] > 0 {
		return
	}
	changes := u.Changes
	if u.Complete {
		changes = append(changes, r.missingFrom(u.Keys, u.Revision)...)
		i.snapshots[u.Prefix]++
	}
	applied := r.apply(newer(changes, r.revision), u.Revision)
	i.applyChanges(now, u.Prefix, applied)
	if len(applied) > 0 {
		i.announceChange()
	}
}

// newer returns the changes above a revision. Those up to it are part of the replica
// that has this revision, and may have been superseded.
func newer(changes []storer.Change, revision uint64) []storer.Change {
	var kept []storer.Change
	for _, c := range changes {
		if c.Revision > revision {
			kept = append(kept, c)
		}
	}
	return kept
}

// keys returns the keys of all entries.
func (r *replica) keys() []string {
	keys := make([]string, 0, len(r.entries))
	for key := range r.entries {
		keys = append(keys, key)
	}
	return keys
}

// newerThan returns the entries above a revision as changes.
func (r *replica) newerThan(revision uint64) []storer.Change {
	var changes []storer.Change
	for _, e := range r.entries {
		if e.Revision > revision {
			changes = append(changes, storer.Change{Entry: e})
		}
	}
	return changes
}

// missingFrom returns the removal, at a revision, of each entry whose key is not
// listed.
func (r *replica) missingFrom(keys []string, revision uint64) []storer.Change {
	listed := make(map[string]bool, len(keys))
	for _, key := range keys {
		listed[key] = true
	}
	var removals []storer.Change
	for key := range r.entries {
		if !listed[key] {
			removals = append(removals, storer.Change{Entry: storer.Entry{Key: key, Revision: revision}, Removed: true})
		}
	}
	return removals
}
