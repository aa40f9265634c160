package indexer

import (
	"cmp"
	"slices"
	"time"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

// lookup is the memory of one lookup, kept for the next.
type lookup struct {
	// leads holds one item for each slot; those of an older turn are unset.
	leads []lead
	turn  uint32
	found []uint16
}

// lead counts the leading checkpoints of one slot.
type lead struct {
	turn uint32
	held uint32
	// unsure counts the checkpoints from the first unsure one on.
	unsure uint32
}

// Lookup appends to buf the upstreams that hold leading checkpoints of a
// chain, the longest first. Of more than MaxHoldings, equals take turns.
func (x *Index) Lookup(now time.Time, checkpoints []hasher.Hash, buf []Holding) []Holding {
	l := &x.scratch
	l.begin(len(x.slots))
	for depth, hash := range checkpoints {
		if !x.walk(now, l, uint32(depth), hash) {
			break
		}
	}
	l.order()
	n := min(len(l.found), x.cfg.MaxHoldings)
	for _, at := range l.found[:n] {
		s, lead := &x.slots[at], l.leads[at]
		buf = append(buf, Holding{
			Upstream:     s.key.upstream,
			Incarnation:  x.upstreams[s.key.upstream].incarnation,
			HeldBlocks:   int(lead.held) * hasher.CheckpointBlocks,
			UnsureBlocks: int(lead.unsure) * hasher.CheckpointBlocks,
		})
	}
	return buf
}

// walk counts the checkpoint at depth for every slot that holds it and all
// before it, and tells whether there is any.
func (x *Index) walk(now time.Time, l *lookup, depth uint32, hash hasher.Hash) bool {
	i, ok := x.heads[hash]
	if !ok {
		return false
	}
	found := false
	for ; i != noRecord; i = x.pages.at(i).next {
		r := x.pages.at(i)
		worth := x.slots[r.slot].state(now, r)
		if worth != stateVoid && l.count(r.slot, depth, worth == stateUnsure) {
			found = true
		}
	}
	return found
}

func (l *lookup) begin(slots int) {
	if len(l.leads) < slots {
		l.leads = make([]lead, slots)
		l.turn = 0
	}
	l.turn++
	l.found = l.found[:0]
}

// count adds the checkpoint at depth to the lead of a slot.
func (l *lookup) count(slot uint16, depth uint32, unsure bool) bool {
	at := &l.leads[slot]
	if at.turn != l.turn {
		*at = lead{turn: l.turn}
		if depth == 0 {
			l.found = append(l.found, slot)
		}
	}
	if at.held+at.unsure != depth {
		return false
	}
	if unsure || at.unsure > 0 {
		at.unsure++
		return true
	}
	at.held++
	return true
}

// order sorts the found slots, the longest lead first. Equals begin at another
// place each turn.
func (l *lookup) order() {
	if n := len(l.found); n > 0 {
		first := int(l.turn) % n
		slices.Reverse(l.found[:first])
		slices.Reverse(l.found[first:])
		slices.Reverse(l.found)
	}
	slices.SortStableFunc(l.found, func(a, b uint16) int {
		p, q := l.leads[a], l.leads[b]
		return cmp.Or(cmp.Compare(q.held, p.held), cmp.Compare(q.unsure, p.unsure))
	})
}
