package informer

import (
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/platform/storer"
)

// startsEra reports whether a version is of a later era than the replica's. The first
// version of a replica starts none.
func (r *replica) startsEra(version storer.Version) bool {
	return r.version != storer.Version{} && version.Era > r.version.Era
}

// restoredUpTo returns the highest revision at which an entry of a version may be an
// older one than the replica's, restored from the copy with which an era starts: that up
// to which the replica had the entries of the era before, or 0 if no era starts.
func (r *replica) restoredUpTo(version storer.Version) uint64 {
	if !r.startsEra(version) {
		return 0
	}
	return r.version.Revision
}

// enterEra handles the start of an era before the replica of a prefix enters it.
// Upstreams that the restored copy lacks are given time to register again.
func (i *Informer) enterEra(now time.Time, prefix string, version storer.Version) {
	if i.replicas[prefix].startsEra(version) {
		i.recordRecovery(prefix, now)
	}
}

// recordEra logs and counts the start of an era with the changes of the replica that it
// caused.
func (i *Informer) recordEra(prefix string, before, version storer.Version, changes []storer.Change) {
	if i.cfg.OnRestore != nil {
		i.cfg.OnRestore(prefix)
	}
	removed := 0
	for _, c := range changes {
		if c.Removed {
			removed++
		}
	}
	i.logEvent("store_restored").WithFields(logrus.Fields{
		"prefix":          prefix,
		"era_before":      before.Era,
		fieldEra:          version.Era,
		"revision_before": before.Revision,
		fieldRevision:     version.Revision,
		"changed":         len(changes) - removed,
		"removed":         removed,
	}).Warn("store was restored from an older copy")
}

// update brings the replica of a prefix to a version by change, updates the state that
// is derived from it and returns the changes. The caller must hold i.mu.
func (i *Informer) update(now time.Time, prefix string, version storer.Version, change func(*replica) []storer.Change) []storer.Change {
	r := i.replicas[prefix]
	before, startsEra, restoredUpTo := r.version, r.startsEra(version), r.restoredUpTo(version)
	i.enterEra(now, prefix, version)
	entries := i.entriesBefore(prefix, startsEra)
	changes := change(r)
	if prefix == i.cfg.VMPrefix {
		i.retainVMs(now, startsEra, entries, changes)
	}
	if startsEra {
		i.recordEra(prefix, before, version, changes)
	}
	i.applyChanges(now, prefix, changes, restoredUpTo)
	return changes
}
