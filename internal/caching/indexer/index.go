// Package indexer keeps which upstream holds which cached prefix, as far as
// late and incomplete events tell. It does no I/O and reads no clock.
package indexer

import (
	"time"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

// maxSlots is the largest number of pairs of an upstream and a model.
const maxSlots = 1 << 16

// Index is one part of the prefix index. It is used by one goroutine at a time.
type Index struct {
	cfg   Config
	heads map[hasher.Hash]uint32
	pages pages
	// free is the first record of the list of unused ones.
	free uint32
	// hand is the record that is looked at next to make room.
	hand      uint32
	inUse     int
	upstreams map[string]*upstream
	slots     []slot
	// unused lists the slots of upstreams that left.
	unused  []uint16
	stats   Stats
	scratch lookup
}

// New returns an empty Index.
func New(cfg Config) *Index {
	return &Index{
		cfg:       cfg.withDefaults(),
		heads:     make(map[hasher.Hash]uint32),
		free:      noRecord,
		upstreams: make(map[string]*upstream),
	}
}

// Stats returns the counters.
func (x *Index) Stats() Stats {
	s := x.stats
	s.Records = x.inUse
	return s
}

// Apply changes the index by u and tells whether u was used. An update of an
// older incarnation, or not newer than the last one, is dropped.
func (x *Index) Apply(now time.Time, u Update) bool {
	if u.Check() != nil {
		x.stats.Dropped++
		return false
	}
	up := x.meet(u.Upstream, u.Incarnation)
	if up == nil {
		x.stats.Dropped++
		return false
	}
	if u.Kind == Gap {
		x.demote(now, up.slots, u.Seq)
		x.stats.Applied++
		return true
	}
	n, ok := x.slot(up, slotKey{upstream: u.Upstream, model: u.Model})
	if !ok || !x.accept(n, u) {
		x.stats.Dropped++
		return false
	}
	for _, hash := range u.Stored {
		x.store(n, hash)
	}
	for _, hash := range u.Evicted {
		x.evict(n, hash)
	}
	x.stats.Applied++
	return true
}

// meet compares incarnation with what is known of the upstream. A newer one
// voids all belief at once; nil means that it is older.
func (x *Index) meet(name string, incarnation uint64) *upstream {
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
		x.void(up.slots...)
	}
	return up
}

func (x *Index) void(slots ...uint16) {
	for _, n := range slots {
		x.slots[n].void()
		x.stats.Voids++
	}
}

// demote makes the records of slots unsure that know nothing newer than seq.
func (x *Index) demote(now time.Time, slots []uint16, seq uint64) {
	for _, n := range slots {
		if x.slots[n].seq <= seq {
			x.slots[n].demote(now, x.cfg.UnsureTTL)
		}
	}
	x.stats.Gaps++
}

// slot returns the number of the slot of a model, made where there is none.
func (x *Index) slot(up *upstream, key slotKey) (uint16, bool) {
	for _, n := range up.slots {
		if x.slots[n].key.model == key.model {
			return n, true
		}
	}
	n, ok := x.unusedSlot()
	if !ok {
		return 0, false
	}
	x.slots[n] = slot{key: key, epoch: x.slots[n].epoch + 1}
	up.slots = append(up.slots, n)
	return n, true
}

func (x *Index) unusedSlot() (uint16, bool) {
	if last := len(x.unused) - 1; last >= 0 {
		n := x.unused[last]
		x.unused = x.unused[:last]
		return n, true
	}
	if len(x.slots) == maxSlots {
		return 0, false
	}
	x.slots = append(x.slots, slot{})
	return uint16(len(x.slots) - 1), true
}

// accept moves the slot on to u and tells whether u is newer than the last one.
func (x *Index) accept(n uint16, u Update) bool {
	s := &x.slots[n]
	if u.Seq < s.seq || (u.Kind == Change && u.Seq == s.seq) {
		return false
	}
	if u.Kind == Full || (s.weightsVersion != "" && s.weightsVersion != u.WeightsVersion) {
		x.void(n)
	}
	s.weightsVersion = u.WeightsVersion
	s.seq = u.Seq
	return true
}

// Remove forgets an upstream that left.
func (x *Index) Remove(name string) {
	up, ok := x.upstreams[name]
	if !ok {
		return
	}
	x.void(up.slots...)
	x.unused = append(x.unused, up.slots...)
	delete(x.upstreams, name)
}

// Confirm notes that an upstream of that incarnation was seen to hold
// checkpoints, such as by an answer that tells how many blocks it found cached.
func (x *Index) Confirm(name, model string, incarnation uint64, checkpoints []hasher.Hash) bool {
	up := x.meet(name, incarnation)
	if up == nil {
		return false
	}
	n, ok := x.slot(up, slotKey{upstream: name, model: model})
	if !ok {
		return false
	}
	for _, hash := range checkpoints {
		x.store(n, hash)
	}
	return true
}

// Age demotes every record, as a gap of every upstream would.
func (x *Index) Age(now time.Time) {
	for n := range x.slots {
		x.slots[n].demote(now, x.cfg.UnsureTTL)
	}
}
