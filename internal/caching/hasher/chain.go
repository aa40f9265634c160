// Package hasher computes the chained block hashes that name cached prefixes.
package hasher

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the number of prompt bytes that one block covers.
const BlockBytes = 256

// Hash names one block together with everything before it.
type Hash uint64

// Scope is what cached blocks belong to. Blocks of two scopes never have the
// same hash chain, so entries of another organisation or of older weights
// cannot match.
type Scope struct {
	Organisation   string
	Model          string
	WeightsVersion string
}

// Seed returns the hash that starts every chain of the scope.
func (s Scope) Seed() Hash {
	d := xxhash.New()
	writeField(d, s.Organisation)
	writeField(d, s.Model)
	writeField(d, s.WeightsVersion)
	return Hash(d.Sum64())
}

func writeField(d *xxhash.Digest, field string) {
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(field)))
	_, _ = d.Write(size[:])
	_, _ = d.WriteString(field)
}

// Chain returns the hashes of the whole blocks of prompt, the first one first.
// A last part shorter than a block has no hash.
func Chain(scope Scope, prompt string) []Hash {
	previous := scope.Seed()
	chain := make([]Hash, 0, len(prompt)/BlockBytes)
	var d xxhash.Digest
	var parent [8]byte
	for start := 0; start+BlockBytes <= len(prompt); start += BlockBytes {
		d.Reset()
		binary.LittleEndian.PutUint64(parent[:], uint64(previous))
		_, _ = d.Write(parent[:])
		_, _ = d.WriteString(prompt[start : start+BlockBytes])
		previous = Hash(d.Sum64())
		chain = append(chain, previous)
	}
	return chain
}
