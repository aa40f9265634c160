package indexer

// Holding is the number of leading blocks of a chain that an upstream holds.
type Holding struct {
	Upstream    string `json:"upstream" cbor:"upstream"`
	Incarnation uint64 `json:"incarnation" cbor:"incarnation"`
	// HeldBlocks is the number of leading blocks that are known to be held.
	HeldBlocks int `json:"held_blocks" cbor:"held_blocks"`
	// UnsureBlocks is the number of blocks after HeldBlocks that may have been
	// evicted: at least the first of them was held before a gap and has not been
	// confirmed since.
	UnsureBlocks int `json:"unsure_blocks,omitempty" cbor:"unsure_blocks,omitempty"`
}
