package indexer

// Holding says how many leading blocks of a chain an upstream holds.
type Holding struct {
	Upstream    string `json:"upstream" cbor:"upstream"`
	Incarnation uint64 `json:"incarnation" cbor:"incarnation"`
	// HeldBlocks is the number of leading blocks held for sure.
	HeldBlocks int `json:"held_blocks" cbor:"held_blocks"`
	// UnsureBlocks is the number of blocks after them that were held before a
	// gap and not confirmed since.
	UnsureBlocks int `json:"unsure_blocks,omitempty" cbor:"unsure_blocks,omitempty"`
}
