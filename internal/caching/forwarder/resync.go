package forwarder

import (
	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/caching/partitioner"
)

// SetOwners replaces the owners after a membership change. An owner that gained a
// family receives a full update of all of its families.
func (f *Forwarder) SetOwners(owners *partitioner.Partitioner) {
	f.flushBatches()
	previous := f.cfg.Owners
	f.cfg.Owners = owners
	gained := make(map[string]bool)
	for _, h := range f.held {
		owner := owners.Owner(h.family)
		if owner != previous.Owner(h.family) {
			gained[owner] = true
		}
	}
	for owner := range gained {
		f.Resync(owner)
	}
}

// Resync queues a full update for an owner: all checkpoints of its families that
// the upstream holds. It is called when the owner may have missed updates, for
// example after a lost connection.
func (f *Forwarder) Resync(owner string) {
	stored := make(map[string][]hasher.Hash, len(f.weightsVersions))
	for hash, h := range f.held {
		if f.cfg.Owners.Owner(h.family) == owner {
			stored[h.model] = append(stored[h.model], hash)
		}
	}
	for model := range f.weightsVersions {
		delete(f.batches, batchKey{owner: owner, model: model})
		u := f.newUpdate(indexer.Full, model)
		u.Stored = stored[model]
		f.queued = append(f.queued, Delivery{Owner: owner, Update: u})
	}
}
