package hasher

// CheckpointBlocks is the distance between two checkpoints of a chain. Only
// checkpoints are indexed, so that the index and its traffic shrink by it.
const CheckpointBlocks = 4

// IsCheckpoint tells whether the block at index, counted from 0, is a checkpoint.
func IsCheckpoint(index int) bool {
	return index%CheckpointBlocks == CheckpointBlocks-1
}

// Family returns the hash of the first checkpoint of chain, which names the
// owner of its part of the index. A chain without a checkpoint has no family.
func Family(chain []Hash) (Hash, bool) {
	if len(chain) < CheckpointBlocks {
		return 0, false
	}
	return chain[CheckpointBlocks-1], true
}

// Checkpoints returns the checkpoints of chain, the first one first.
func Checkpoints(chain []Hash) []Hash {
	checkpoints := make([]Hash, 0, len(chain)/CheckpointBlocks)
	for i := CheckpointBlocks - 1; i < len(chain); i += CheckpointBlocks {
		checkpoints = append(checkpoints, chain[i])
	}
	return checkpoints
}
