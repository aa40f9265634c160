// Package partitioner assigns the partitions of the prefix index and the upstreams to
// the controllers that index and read them. It does no I/O.
package partitioner

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

// familyBytes is the size of a family's key.
const familyBytes = 8

// Partitioner distributes the index over the live controllers of a region by
// rendezvous hashing. A membership change therefore moves only the families of the
// member that joined or left, and all nodes with the same members compute the same
// owners.
type Partitioner struct {
	members []string
	table   *rendezvous.Rendezvous
}

// New returns a Partitioner over members. Their order and duplicates do not matter.
func New(members []string) *Partitioner {
	sorted := slices.Clone(members)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	return &Partitioner{members: sorted, table: rendezvous.New(sorted, xxhash.Sum64String)}
}

// Members returns the members in lexical order.
func (p *Partitioner) Members() []string { return slices.Clone(p.members) }

// Owner returns the controller that indexes a family, or an empty string if there
// are no members.
func (p *Partitioner) Owner(family hasher.Hash) string {
	var key [familyBytes]byte
	binary.LittleEndian.PutUint64(key[:], uint64(family))
	return p.table.Lookup(string(key[:]))
}

// Reader returns the controller that reads the cache events and load reports of an
// upstream, or an empty string if there are no members.
func (p *Partitioner) Reader(upstream string) string {
	return p.table.Lookup(upstream)
}
