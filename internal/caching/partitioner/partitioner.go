// Package partitioner says which controller owns which part of the prefix
// index and which reads the events of which upstream. It does no I/O.
package partitioner

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

// familyBytes is the size of the key of a family.
const familyBytes = 8

// Partitioner shares out the index over the live controllers of a region by
// rendezvous hashing, so that a change of members moves only the parts of the
// member that came or went. All nodes with the same members agree.
type Partitioner struct {
	members []string
	table   *rendezvous.Rendezvous
}

// New returns a Partitioner over members, whose order does not matter.
func New(members []string) *Partitioner {
	sorted := slices.Clone(members)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	return &Partitioner{members: sorted, table: rendezvous.New(sorted, xxhash.Sum64String)}
}

// Members returns the members in order.
func (p *Partitioner) Members() []string { return slices.Clone(p.members) }

// Owner returns the controller that owns a family, empty without members.
func (p *Partitioner) Owner(family hasher.Hash) string {
	var key [familyBytes]byte
	binary.LittleEndian.PutUint64(key[:], uint64(family))
	return p.table.Lookup(string(key[:]))
}

// Reader returns the controller that reads the cache events and load reports
// of an upstream, empty without members.
func (p *Partitioner) Reader(upstream string) string {
	return p.table.Lookup(upstream)
}
