package forwarder

import (
	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/caching/partitioner"
)

// SetOwners changes the owners after a change of members. Owners that gained a
// family are told in full what the upstream holds of theirs.
func (f *Forwarder) SetOwners(owners *partitioner.Partitioner) {
	f.flushBatches()
	before := f.cfg.Owners
	f.cfg.Owners = owners
	gained := make(map[string]bool)
	for _, h := range f.held {
		owner := owners.Owner(h.family)
		if owner != before.Owner(h.family) {
			gained[owner] = true
		}
	}
	for owner := range gained {
		f.Resync(owner)
	}
}

// Resync tells one owner in full what the upstream holds of its families, such
// as after a lost connection to it.
func (f *Forwarder) Resync(owner string) {
	stored := make(map[string][]hasher.Hash, len(f.weights))
	for hash, h := range f.held {
		if f.cfg.Owners.Owner(h.family) == owner {
			stored[h.model] = append(stored[h.model], hash)
		}
	}
	for model := range f.weights {
		delete(f.batches, batchKey{owner: owner, model: model})
		u := f.update(indexer.Full, model)
		u.Stored = stored[model]
		f.due = append(f.due, Delivery{Owner: owner, Update: u})
	}
}
