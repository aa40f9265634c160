package indexer

import (
	"cmp"
	"slices"
	"time"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

// lookup is the scratch memory of a lookup, reused by the next one.
type lookup struct {
	// matches has an entry for each slot. An entry of another generation counts
	// as zero, so that the entries need not be cleared for each lookup.
	matches    []match
	generation uint32
	// found lists the slots that hold the first checkpoint.
	found []uint16
}

// match counts the leading checkpoints that a slot holds.
type match struct {
	generation uint32
	held       uint32
	// unsure counts the checkpoints from the first unsure one on, including
	// confirmed ones.
	unsure uint32
}

// Lookup appends to buf up to MaxHoldings upstreams that hold leading checkpoints of
// a chain, the longest prefix first. Upstreams with equal prefixes are rotated
// between lookups, so that the limit does not always exclude the same ones.
func (x *Index) Lookup(now time.Time, checkpoints []hasher.Hash, buf []Holding) []Holding {
	l := &x.scratch
	l.reset(len(x.slots))
	for depth, hash := range checkpoints {
		if !x.matchCheckpoint(now, l, uint32(depth), hash) {
			break
		}
	}
	l.sortFound()
	n := min(len(l.found), x.cfg.MaxHoldings)
	for _, at := range l.found[:n] {
		s, m := &x.slots[at], l.matches[at]
		buf = append(buf, Holding{
			Upstream:     s.key.upstream,
			Incarnation:  x.upstreams[s.key.upstream].incarnation,
			HeldBlocks:   int(m.held) * hasher.CheckpointBlocks,
			UnsureBlocks: int(m.unsure) * hasher.CheckpointBlocks,
		})
	}
	return buf
}

// matchCheckpoint extends the match of every slot that holds the checkpoint at depth
// and all checkpoints before it. It reports whether there is such a slot.
func (x *Index) matchCheckpoint(now time.Time, l *lookup, depth uint32, hash hasher.Hash) bool {
	i, ok := x.heads[hash]
	if !ok {
		return false
	}
	found := false
	for ; i != noRecord; i = x.pages.at(i).next {
		r := x.pages.at(i)
		state := x.slots[r.slot].recordState(now, r)
		if state != recordInvalid && l.extend(r.slot, depth, state == recordUnsure) {
			found = true
		}
	}
	return found
}

// reset prepares the scratch memory for a lookup over the given number of slots.
func (l *lookup) reset(slots int) {
	if len(l.matches) < slots {
		l.matches = make([]match, slots)
		l.generation = 0
	}
	l.generation++
	l.found = l.found[:0]
}

// extend adds the checkpoint at depth to the match of a slot. It returns false if
// the slot lacks an earlier checkpoint.
func (l *lookup) extend(slot uint16, depth uint32, unsure bool) bool {
	m := &l.matches[slot]
	if m.generation != l.generation {
		*m = match{generation: l.generation}
		if depth == 0 {
			l.found = append(l.found, slot)
		}
	}
	if m.held+m.unsure != depth {
		return false
	}
	if unsure || m.unsure > 0 {
		m.unsure++
		return true
	}
	m.held++
	return true
}

// sortFound sorts the found slots, the longest match first. It rotates them by the
// generation before the stable sort, so that the order of equal matches changes
// with each lookup.
func (l *lookup) sortFound() {
	if n := len(l.found); n > 0 {
		first := int(l.generation) % n
		slices.Reverse(l.found[:first])
		slices.Reverse(l.found[first:])
		slices.Reverse(l.found)
	}
	slices.SortStableFunc(l.found, func(a, b uint16) int {
		p, q := l.matches[a], l.matches[b]
		return cmp.Or(cmp.Compare(q.held, p.held), cmp.Compare(q.unsure, p.unsure))
	})
}
