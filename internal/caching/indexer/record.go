package indexer

import "gentianstep.example/gentianstep/internal/caching/hasher"

// noRecord is the index that terminates a linked list of records.
const noRecord = ^uint32(0)

// record states that the upstream of a slot holds a block of the slot's model.
type record struct {
	hash hasher.Hash
	// next is the index of the next record with the same hash, or of the next
	// free record.
	next uint32
	// epoch is the epoch of the slot when the record was last confirmed. The
	// record is invalid if the slot has another epoch.
	epoch uint32
	// gaps is the gap count of the slot when the record was last confirmed.
	gaps uint32
	// slot is the index of the slot in Index.slots.
	slot uint16
}

// pageRecords is the number of records of a page.
const pageRecords = 1024

// pages is an array of records that grows by whole pages without copying.
type pages struct {
	list [][]record
	// n is the number of records that were added.
	n uint32
}

// at returns the record with index i.
func (p *pages) at(i uint32) *record {
	return &p.list[i/pageRecords][i%pageRecords]
}

// add appends a zero record and returns its index.
func (p *pages) add() uint32 {
	if p.n%pageRecords == 0 {
		p.list = append(p.list, make([]record, pageRecords))
	}
	p.n++
	return p.n - 1
}
