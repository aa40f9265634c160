package hasher

// CheckpointBlocks is the distance between two checkpoints of a chain in blocks.
// Only checkpoints are indexed, which reduces the index and its traffic by this
// factor.
const CheckpointBlocks = 4

// IsCheckpoint reports whether the block at index, counted from 0, is a checkpoint.
func IsCheckpoint(index int) bool {
	return index%CheckpointBlocks == CheckpointBlocks-1
}

// Family returns the hash of the first checkpoint of chain. It is the partition key
// of the index: all chains of a family have the same owner. A chain without a
// checkpoint has no family.
func Family(chain []Hash) (Hash, bool) {
	if len(chain) < CheckpointBlocks {
		return 0, false
	}
	return chain[CheckpointBlocks-1], true
}

// Checkpoints returns the hashes of the checkpoints of chain in order.
func Checkpoints(chain []Hash) []Hash {
	checkpoints := make([]Hash, 0, len(chain)/CheckpointBlocks)
	for i := CheckpointBlocks - 1; i < len(chain); i += CheckpointBlocks {
		checkpoints = append(checkpoints, chain[i])
	}
	return checkpoints
}
