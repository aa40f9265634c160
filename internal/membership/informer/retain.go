package informer

import (
	"maps"
	"strings"
	"time"

	"gentianstep.example/gentianstep/internal/platform/storer"
)

// retainedVMs holds the entries of VMs that a restored copy of the store lacks. The VMs
// write them again; until then they count as before, so that the deployment does not seem
// to be a single VM. They are not sent to other VMs, which retain theirs themselves.
type retainedVMs struct {
	entries  map[string]storer.Entry
	deadline time.Time
	// dropped counts the times at which entries were dropped without being replaced.
	dropped uint64
}

// retain adds the entries of before that are missing from a new era's.
func (v *retainedVMs) retain(before, after map[string]storer.Entry, prefix string, deadline time.Time) {
	lost := make(map[string]storer.Entry)
	for _, entries := range []map[string]storer.Entry{v.entries, before} {
		for key, entry := range entries {
			if _, ok := after[key]; !ok && strings.HasPrefix(key, prefix) {
				lost[key] = entry
			}
		}
	}
	v.entries, v.deadline = lost, deadline
}

// handleChanges drops the entries that VMs have written or removed since.
func (v *retainedVMs) handleChanges(changes []storer.Change) {
	for _, c := range changes {
		delete(v.entries, c.Key)
	}
}

// expire drops all entries at the deadline and reports whether there were any.
func (v *retainedVMs) expire(now time.Time) bool {
	if len(v.entries) == 0 || now.Before(v.deadline) {
		return false
	}
	v.entries = nil
	v.dropped++
	return true
}

// retainVMs retains the entries of VMs if a new era starts for them, and otherwise drops
// those that changed.
func (i *Informer) retainVMs(now time.Time, startsEra bool, before map[string]storer.Entry, changes []storer.Change) {
	if startsEra {
		i.retained.retain(before, i.replicas[i.cfg.VMPrefix].entries, i.cfg.RetainPrefix, now.Add(i.cfg.RetainFor))
		return
	}
	i.retained.handleChanges(changes)
}

// entriesBefore returns a copy of the VMs' entries if a new era starts for them.
func (i *Informer) entriesBefore(prefix string, startsEra bool) map[string]storer.Entry {
	if !startsEra || prefix != i.cfg.VMPrefix {
		return nil
	}
	return maps.Clone(i.replicas[prefix].entries)
}

// VMs returns the store entries of the deployment's VMs, also those that a restored store
// has lost a short time ago.
func (i *Informer) VMs() []storer.Entry {
	i.mu.Lock()
	defer i.mu.Unlock()
	entries := i.replicas[i.cfg.VMPrefix].snapshot(i.cfg.VMPrefix).Entries
	for _, e := range i.retained.entries {
		entries = append(entries, e)
	}
	return entries
}

// ChangeCount returns the number of changes of a prefix's replica so far, including those
// of the entries of VMs that are retained.
func (i *Informer) ChangeCount(prefix string) uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := i.replicas[prefix].log.end()
	if prefix == i.cfg.VMPrefix {
		n += i.retained.dropped
	}
	return n
}
