package informer

import (
	"errors"
	"slices"
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
	// Changes are in order of their versions.
	Changes []storer.Change `cbor:"5,keyasint,omitempty"`
	// AgeMillis is the time in milliseconds since the store last confirmed the
	// replica.
	AgeMillis int64 `cbor:"6,keyasint"`
	// RecoveredMillis is the time in milliseconds since the store became available
	// again after an outage, or 0 if there was none.
	RecoveredMillis int64 `cbor:"7,keyasint,omitempty"`
	// Era is the era of Revision. VMs of builds that know no eras send none.
	Era uint64 `cbor:"8,keyasint,omitempty"`
	// SentEra and SentRevision are the version of the update before if an era has started
	// since. What the receiver has after it may have been undone.
	SentEra      uint64 `cbor:"9,keyasint,omitempty"`
	SentRevision uint64 `cbor:"10,keyasint,omitempty"`
}

// Version returns the version to which the update brings a replica.
func (u Update) Version() storer.Version { return storer.Version{Era: u.Era, Revision: u.Revision} }

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
type Position map[string]sentChanges

// sentChanges is the position in a change log up to which changes were sent, and the
// version of the replica at that time.
type sentChanges struct {
	position uint64
	version  storer.Version
}

// Updates returns what a VM lacks that has been sent the changes up to a position, or,
// if the position lacks a prefix, that holds replicas of the given versions. It returns
// an update of each prefix, also without changes, and the next position.
func (i *Informer) Updates(now time.Time, sent Position, versions Versions) ([]Update, Position) {
	i.mu.Lock()
	defer i.mu.Unlock()
	updates, next := make([]Update, 0, len(i.replicas)), make(Position, len(i.replicas))
	for _, prefix := range i.prefixes() {
		r := i.replicas[prefix]
		if i.snapshots[prefix] == 0 {
			continue
		}
		update := Update{Prefix: prefix, Era: r.version.Era, Revision: r.version.Revision, AgeMillis: i.age(now, prefix).Milliseconds()}
		if at := i.recoveredAt[prefix]; !at.IsZero() {
			update.RecoveredMillis = max(now.Sub(at).Milliseconds(), 1)
		}
		last, known := sent[prefix]
		changes, logged := r.log.since(last.position)
		switch {
		case known && logged && last.version.Era == r.version.Era:
			update.Changes = changes
		case known && logged:
			// The receiver may have changes that the new era lacks.
			update.Complete, update.Keys, update.Changes = true, r.keys(), changes
			update.SentEra, update.SentRevision = last.version.Era, last.version.Revision
		case !known && !r.version.After(versions[prefix]):
		default:
			update.Complete, update.Keys, update.Changes = true, r.keys(), r.newerThan(versions[prefix])
		}
		updates, next[prefix] = append(updates, update), sentChanges{r.log.end(), r.version}
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

// ApplyUpdate applies an update that another VM has sent. It returns false if the update
// does not bring this VM up to date, because it is of an era that has ended, or lacks
// entries that only an update for the versions of this VM's replicas has.
func (i *Informer) ApplyUpdate(now time.Time, u Update) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	r, ok := i.replicas[u.Prefix]
	if !ok {
		return true // a prefix of a later build
	}
	version := u.Version()
	if version.Era < r.version.Era || r.startsEra(version) && !u.Complete || version.After(r.version) && r.isAhead(u) {
		return false
	}
	if u.RecoveredMillis > 0 {
		i.recordRecovery(u.Prefix, now.Add(-time.Duration(u.RecoveredMillis)*time.Millisecond))
	}
	if confirmedAt := now.Add(-time.Duration(u.AgeMillis) * time.Millisecond); !r.version.After(version) {
		i.recordOrigin(now, u.Prefix, sourceRelay, confirmedAt)
		i.lastResponseAt[u.Prefix] = latest(i.lastResponseAt[u.Prefix], confirmedAt)
	}
	if !version.After(r.version) && i.snapshots[u.Prefix] > 0 {
		return true
	}
	startsEra, changes := r.startsEra(version), u.Changes
	if u.Complete {
		changes = append(slices.Clip(changes), r.missingFrom(u.Keys, version)...)
		i.snapshots[u.Prefix]++
	}
	applied := i.update(now, u.Prefix, version, func(r *replica) []storer.Change { return r.apply(changes, version) })
	if len(applied) > 0 || startsEra {
		i.announceChange()
	}
	return true
}

// newer returns the changes after a version. Those up to it are part of the replica
// that has this version, and may have been superseded.
func newer(changes []storer.Change, version storer.Version) []storer.Change {
	var kept []storer.Change
	for _, c := range changes {
		if c.Version().After(version) {
			kept = append(kept, c)
		}
	}
	return kept
}

// isAhead reports whether a replica has changes that the sender of an update lacked when
// an era started. The update then does not tell what became of the changed entries.
func (r *replica) isAhead(u Update) bool {
	sent := storer.Version{Era: u.SentEra, Revision: u.SentRevision}
	if sent == (storer.Version{}) {
		return false
	}
	listed := make(map[string]bool, len(u.Keys))
	for _, key := range u.Keys {
		listed[key] = true
	}
	for _, c := range u.Changes {
		delete(listed, c.Key)
	}
	for key := range listed {
		if known, ok := r.entries[key]; !ok || known.Version().After(sent) {
			return true
		}
	}
	return false
}

// keys returns the keys of all entries.
func (r *replica) keys() []string {
	keys := make([]string, 0, len(r.entries))
	for key := range r.entries {
		keys = append(keys, key)
	}
	return keys
}

// newerThan returns the entries after a version as changes.
func (r *replica) newerThan(version storer.Version) []storer.Change {
	var changes []storer.Change
	for _, e := range r.entries {
		if e.Version().After(version) {
			changes = append(changes, storer.Change{Entry: e})
		}
	}
	return changes
}

// missingFrom returns the removal, at a version, of each entry whose key is not
// listed.
func (r *replica) missingFrom(keys []string, version storer.Version) []storer.Change {
	listed := make(map[string]bool, len(keys))
	for _, key := range keys {
		listed[key] = true
	}
	var removals []storer.Change
	for key := range r.entries {
		if !listed[key] {
			removals = append(removals, removal(key, version))
		}
	}
	return removals
}
