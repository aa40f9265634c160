// Package indexer maintains an index of the cached prefixes of upstreams. The events
// that it is built from may arrive late, repeatedly or not at all, so that its
// records can be outdated. It does no I/O and reads no clock.
package indexer

import (
	"time"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

// maxSlots is the maximum number of pairs of an upstream and a model; record.slot
// has 16 bits.
const maxSlots = 1 << 16

// Index is a partition of the prefix index. It is not safe for concurrent use.
type Index struct {
	cfg Config
	// heads holds the first record of each hash.
	heads map[hasher.Hash]uint32
	pages pages
	// freeHead is the first record of the free list.
	freeHead uint32
	// clockHand is the record at which the next scan for a record to reclaim
	// begins.
	clockHand    uint32
	recordsInUse int
	upstreams    map[string]*upstream
	slots        []slot
	// freeSlots lists the slots of removed upstreams.
	freeSlots []uint16
	stats     Stats
	scratch   lookup
}

// New returns an empty Index.
func New(cfg Config) *Index {
	return &Index{
		cfg:       cfg.withDefaults(),
		heads:     make(map[hasher.Hash]uint32),
		freeHead:  noRecord,
		upstreams: make(map[string]*upstream),
	}
}

// Stats returns the counters.
func (x *Index) Stats() Stats {
	s := x.stats
	s.Records = x.recordsInUse
	return s
}

// Apply applies u to the index and reports whether it did. An update that is
// invalid, of an older incarnation or outdated is dropped.
func (x *Index) Apply(now time.Time, u Update) bool {
	if u.Check() != nil {
		x.stats.Dropped++
		return false
	}
	up := x.upstreamAt(u.Upstream, u.Incarnation)
	if up == nil {
		x.stats.Dropped++
		return false
	}
	if u.Kind == Gap {
		x.demoteSlots(now, up.slots, u.Seq)
		x.stats.Applied++
		return true
	}
	n, ok := x.slotFor(up, slotKey{upstream: u.Upstream, model: u.Model})
	if !ok || !x.advanceSlot(n, u) {
		x.stats.Dropped++
		return false
	}
	for _, hash := range u.Stored {
		x.storeRecord(n, hash)
	}
	for _, hash := range u.Evicted {
		x.removeRecord(n, hash)
	}
	x.stats.Applied++
	return true
}

// upstreamAt returns the state of an upstream at incarnation and adds the upstream if
// it is unknown. A newer incarnation invalidates all records of the upstream. It
// returns nil if incarnation is older than the known one.
func (x *Index) upstreamAt(name string, incarnation uint64) *upstream {
	up, ok := x.upstreams[name]
	if !ok {
		up = &upstream{incarnation: incarnation}
		x.upstreams[name] = up
	}
	if incarnation < up.incarnation {
		return nil
	}
	if incarnation > up.incarnation {
		up.incarnation = incarnation
		x.invalidateSlots(up.slots...)
	}
	return up
}

// invalidateSlots invalidates all records of slots.
func (x *Index) invalidateSlots(slots ...uint16) {
	for _, n := range slots {
		x.slots[n].invalidate()
		x.stats.Voids++
	}
}

// demoteSlots makes the records of slots unsure, except for slots that already have
// an update newer than seq.
func (x *Index) demoteSlots(now time.Time, slots []uint16, seq uint64) {
	for _, n := range slots {
		if x.slots[n].seq <= seq {
			x.slots[n].demote(now, x.cfg.UnsureTTL)
		}
	}
	x.stats.Gaps++
}

// slotFor returns the index of the slot of a model and adds the slot if there is
// none. It returns false at the limit of slots.
func (x *Index) slotFor(up *upstream, key slotKey) (uint16, bool) {
	for _, n := range up.slots {
		if x.slots[n].key.model == key.model {
			return n, true
		}
	}
	n, ok := x.allocateSlot()
	if !ok {
		return 0, false
	}
	x.slots[n] = slot{key: key, epoch: x.slots[n].epoch + 1}
	up.slots = append(up.slots, n)
	return n, true
}

// allocateSlot returns the index of a free slot, or false at the limit of slots.
func (x *Index) allocateSlot() (uint16, bool) {
	if last := len(x.freeSlots) - 1; last >= 0 {
		n := x.freeSlots[last]
		x.freeSlots = x.freeSlots[:last]
		return n, true
	}
	if len(x.slots) == maxSlots {
		return 0, false
	}
	x.slots = append(x.slots, slot{})
	return uint16(len(x.slots) - 1), true
}

// advanceSlot sets the sequence number and weights version of a slot to those of u.
// It returns false if u is outdated. A full update or another weights version
// invalidates the records of the slot.
func (x *Index) advanceSlot(n uint16, u Update) bool {
	s := &x.slots[n]
	if u.Seq < s.seq || (u.Kind == Change && u.Seq == s.seq) {
		return false
	}
	if u.Kind == Full || (s.weightsVersion != "" && s.weightsVersion != u.WeightsVersion) {
		x.invalidateSlots(n)
	}
	s.weightsVersion = u.WeightsVersion
	s.seq = u.Seq
	return true
}

// RemoveUpstream removes an upstream with its records and its known incarnation.
func (x *Index) RemoveUpstream(name string) {
	up, ok := x.upstreams[name]
	if !ok {
		return
	}
	x.invalidateSlots(up.slots...)
	x.freeSlots = append(x.freeSlots, up.slots...)
	delete(x.upstreams, name)
}

// Confirm records that an incarnation of an upstream holds checkpoints, for example
// because a response reported how many blocks were cached. It returns false for an
// older incarnation and at the limit of slots.
func (x *Index) Confirm(name, model string, incarnation uint64, checkpoints []hasher.Hash) bool {
	up := x.upstreamAt(name, incarnation)
	if up == nil {
		return false
	}
	n, ok := x.slotFor(up, slotKey{upstream: name, model: model})
	if !ok {
		return false
	}
	for _, hash := range checkpoints {
		x.storeRecord(n, hash)
	}
	return true
}

// DemoteAll demotes every record, as a gap of every upstream does.
func (x *Index) DemoteAll(now time.Time) {
	for n := range x.slots {
		x.slots[n].demote(now, x.cfg.UnsureTTL)
	}
}
