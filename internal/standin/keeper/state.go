package keeper

import (
	"maps"
	"time"

	"gentianstep.example/gentianstep/internal/platform/storer"
)

// State is a copy of the entries of a Keeper that are not bound to a lease.
type State struct {
	Revision uint64
	Entries  map[string]storer.Entry
	history  history
}

// State returns a copy of the present state.
func (k *Keeper) State() State {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLeases(time.Now())
	s := State{Revision: k.revision, Entries: make(map[string]storer.Entry), history: k.history.clone()}
	for key, entry := range k.entries {
		if entry.LeaseID == 0 {
			s.Entries[key] = entry
		}
	}
	return s
}

// Restore replaces the present state by an older one. All leases end, and revisions and
// the IDs of leases are assigned again.
func (k *Keeper) Restore(s State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision, k.nextID = s.Revision, 0
	k.entries, k.leases = maps.Clone(s.Entries), make(map[uint64]*grantedLease)
	k.history = s.history.clone()
	k.notifyWatchers()
}
