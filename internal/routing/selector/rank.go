package selector

import (
	"github.com/cespare/xxhash/v2"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

// score returns the rendezvous score of an upstream for key. The upstream with
// the highest score is the home of key.
func score(key hasher.Hash, name string) uint64 {
	return mix(key, xxhash.Sum64String(name))
}

// mix joins the hash of a prefix and that of a name.
func mix(key hasher.Hash, sum uint64) uint64 {
	x := uint64(key) ^ sum
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
