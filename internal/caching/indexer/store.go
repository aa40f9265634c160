package indexer

import "gentianstep.example/gentianstep/internal/caching/hasher"

// store notes that the slot holds the block, and confirms it where it was noted.
func (x *Index) store(n uint16, hash hasher.Hash) {
	s := &x.slots[n]
	head, ok := x.heads[hash]
	if !ok {
		head = noRecord
	}
	for i := head; i != noRecord; i = x.pages.at(i).next {
		r := x.pages.at(i)
		if r.slot == n {
			r.epoch = s.epoch
			r.gap = s.gaps
			return
		}
	}
	i := x.take()
	// Making room may have removed the head.
	head, ok = x.heads[hash]
	if !ok {
		head = noRecord
	}
	*x.pages.at(i) = record{hash: hash, next: head, epoch: s.epoch, gap: s.gaps, slot: n}
	x.heads[hash] = i
	x.inUse++
}

// evict notes that the slot no longer holds the block.
func (x *Index) evict(n uint16, hash hasher.Hash) {
	head, ok := x.heads[hash]
	if !ok {
		return
	}
	for i := head; i != noRecord; i = x.pages.at(i).next {
		if x.pages.at(i).slot == n {
			x.release(i)
			return
		}
	}
}

// take returns the place of an unused record, for which a void one or the next
// in turn is given up where all are in use.
func (x *Index) take() uint32 {
	if x.free == noRecord {
		if int(x.pages.n) < x.cfg.MaxRecords {
			return x.pages.add()
		}
		x.displace()
	}
	i := x.free
	x.free = x.pages.at(i).next
	return i
}

// displaceSteps is the number of records looked at for a void one.
const displaceSteps = 8

// displace gives up one record.
func (x *Index) displace() {
	victim := x.hand
	for range displaceSteps {
		r := x.pages.at(x.hand)
		void := r.epoch != x.slots[r.slot].epoch
		if void {
			victim = x.hand
		}
		x.hand = (x.hand + 1) % x.pages.n
		if void {
			break
		}
	}
	x.release(victim)
	x.stats.Displaced++
}

// release takes the record at i out of the list of its hash and makes it free.
func (x *Index) release(i uint32) {
	r := x.pages.at(i)
	head := x.heads[r.hash]
	switch {
	case head != i:
		x.unlink(head, i)
	case r.next == noRecord:
		delete(x.heads, r.hash)
	default:
		x.heads[r.hash] = r.next
	}
	*r = record{next: x.free}
	x.free = i
	x.inUse--
}

func (x *Index) unlink(head, i uint32) {
	before := x.pages.at(head)
	for before.next != i {
		before = x.pages.at(before.next)
	}
	before.next = x.pages.at(i).next
}
