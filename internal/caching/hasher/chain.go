// Package hasher computes the chained block hashes that identify cached prefixes.
package hasher

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the number of prompt bytes that one block covers.
const BlockBytes = 256

// Hash identifies a block together with all blocks before it.
type Hash uint64

// Scope is the namespace of cached blocks. Its fields are part of every hash of a
// chain, so that blocks of another organisation, model or weights version do not
// match.
type Scope struct {
	Organisation   string
	Model          string
	WeightsVersion string
}

// Seed returns the parent hash of the first block of every chain of the scope.
func (s Scope) Seed() Hash {
	d := xxhash.New()
	writeField(d, s.Organisation)
	writeField(d, s.Model)
	writeField(d, s.WeightsVersion)
	return Hash(d.Sum64())
}

// writeField writes the length of field before its bytes, so that different fields
// cannot concatenate to the same input.
func writeField(d *xxhash.Digest, field string) {
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(field)))
	_, _ = d.Write(size[:])
	_, _ = d.WriteString(field)
}

// Chain returns the hashes of the whole blocks of prompt in order. A trailing
// partial block has no hash.
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
