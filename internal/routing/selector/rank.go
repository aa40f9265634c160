package selector

import (
	"github.com/cespare/xxhash/v2"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

// rendezvousScore returns the score of the upstream with the given name for key.
// The upstream with the highest score is the home of key.
func rendezvousScore(key hasher.Hash, name string) uint64 {
	return mixHashes(key, xxhash.Sum64String(name))
}

// mixHashes combines the hash of a prefix and that of an upstream name with the 64-bit
// finaliser of MurmurHash3.
func mixHashes(key hasher.Hash, nameHash uint64) uint64 {
	x := uint64(key) ^ nameHash
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
