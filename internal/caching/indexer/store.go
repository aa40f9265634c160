package indexer

import "gentianstep.example/gentianstep/internal/caching/hasher"

// storeRecord records that a slot holds a block, or confirms the existing record.
func (x *Index) storeRecord(n uint16, hash hasher.Hash) {
	s := &x.slots[n]
	head, ok := x.heads[hash]
	if !ok {
		head = noRecord
	}
	for i := head; i != noRecord; i = x.pages.at(i).next {
		r := x.pages.at(i)
		if r.slot == n {
			r.epoch = s.epoch
			r.gaps = s.gaps
			return
		}
	}
	i := x.allocateRecord()
	// allocateRecord may have reclaimed the head of this list.
	head, ok = x.heads[hash]
	if !ok {
		head = noRecord
	}
	*x.pages.at(i) = record{hash: hash, next: head, epoch: s.epoch, gaps: s.gaps, slot: n}
	x.heads[hash] = i
	x.recordsInUse++
}

// removeRecord removes the record of a block of a slot.
func (x *Index) removeRecord(n uint16, hash hasher.Hash) {
	head, ok := x.heads[hash]
	if !ok {
		return
	}
	for i := head; i != noRecord; i = x.pages.at(i).next {
		if x.pages.at(i).slot == n {
			x.freeRecord(i)
			return
		}
	}
}

// allocateRecord returns the index of a free record. At the limit of records it
// reclaims one.
func (x *Index) allocateRecord() uint32 {
	if x.freeHead == noRecord {
		if int(x.pages.n) < x.cfg.MaxRecords {
			return x.pages.add()
		}
		x.reclaimRecord()
	}
	i := x.freeHead
	x.freeHead = x.pages.at(i).next
	return i
}

// maxReclaimScan is the maximum number of records scanned for an invalid one.
const maxReclaimScan = 8

// reclaimRecord frees the first invalid record that it finds from the clock hand on,
// or the record at the clock hand if none of the scanned ones is invalid. The
// clock hand advances past the scanned records.
func (x *Index) reclaimRecord() {
	victim := x.clockHand
	for range maxReclaimScan {
		r := x.pages.at(x.clockHand)
		invalid := r.epoch != x.slots[r.slot].epoch
		if invalid {
			victim = x.clockHand
		}
		x.clockHand = (x.clockHand + 1) % x.pages.n
		if invalid {
			break
		}
	}
	x.freeRecord(victim)
	x.stats.Displaced++
}

// freeRecord unlinks record i from the list of its hash and adds it to the free
// list.
func (x *Index) freeRecord(i uint32) {
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
	*r = record{next: x.freeHead}
	x.freeHead = i
	x.recordsInUse--
}

// unlink removes record i, which is not the head, from the list that begins at head.
func (x *Index) unlink(head, i uint32) {
	previous := x.pages.at(head)
	for previous.next != i {
		previous = x.pages.at(previous.next)
	}
	previous.next = x.pages.at(i).next
}
