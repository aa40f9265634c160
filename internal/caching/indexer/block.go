package indexer

import "gentianstep.example/gentianstep/internal/caching/hasher"

// maxBlockIndex is the largest valid index of a block in its chain.
const maxBlockIndex = 1 << 20

// Block describes a cached block of a chain.
type Block struct {
	Hash hasher.Hash `json:"hash" cbor:"hash"`
	// Family is the hash of the first checkpoint of the chain, or 0 for a block
	// before that checkpoint.
	Family hasher.Hash `json:"family,omitempty" cbor:"family,omitempty"`
	// Index is the position of the block in the chain, counted from 0.
	Index int `json:"index" cbor:"index"`
}

// BlocksOf returns the blocks of chain from index first on.
func BlocksOf(chain []hasher.Hash, first int) []Block {
	family, _ := hasher.Family(chain)
	blocks := make([]Block, 0, max(len(chain)-first, 0))
	for i := first; i < len(chain); i++ {
		b := Block{Hash: chain[i], Index: i}
		if i >= hasher.CheckpointBlocks-1 {
			b.Family = family
		}
		blocks = append(blocks, b)
	}
	return blocks
}
