package starter

const (
	// processBytes is what a process holds besides the bytes of its clients: 20 MB of heap and
	// tables after the start, 10 MB for 300 connections and their buffers.
	processBytes = 40 << 20
	// clientMemoryShare is the share of the rest for the bytes of clients. What remains covers
	// garbage that is not collected yet and reads of the store.
	clientMemoryShare = 0.7
	// minClientMemoryShare is the least share of the memory limit, for processes with little.
	minClientMemoryShare = 0.125
)

// clientMemory returns the budget for the bytes of clients of a process with a memory limit,
// 0 if it has no limit.
func clientMemory(limit int64) int64 {
	rest := memoryLimitShare*float64(limit) - processBytes
	return int64(max(clientMemoryShare*rest, minClientMemoryShare*float64(limit)))
}
