package indexer

import "gentianstep.example/gentianstep/internal/caching/hasher"

// noRecord ends a list of records.
const noRecord = ^uint32(0)

// record says that the upstream and model of one slot hold one block.
type record struct {
	hash hasher.Hash
	// next is the next record of the same hash.
	next uint32
	// epoch is that of the slot when the record was made; the record is void
	// once the slot has moved on.
	epoch uint32
	// gap is the number of gaps of the slot when the record was confirmed.
	gap uint32
	// slot is the upstream and model.
	slot uint16
}

// pageRecords is the number of records of one page.
const pageRecords = 1024

// pages is a list of records that grows without copying.
type pages struct {
	list [][]record
	n    uint32
}

func (p *pages) at(i uint32) *record {
	return &p.list[i/pageRecords][i%pageRecords]
}

// add returns the place of a new record.
func (p *pages) add() uint32 {
	if p.n%pageRecords == 0 {
		p.list = append(p.list, make([]record, pageRecords))
	}
	p.n++
	return p.n - 1
}
