// Package selector chooses the upstream of a request. It does no I/O and
// reads no clock.
package selector

import "gentianstep.example/gentianstep/internal/caching/hasher"

// Request is what a selection knows of one request.
type Request struct {
	ID             string
	Organisation   string
	Model          string
	WeightsVersion string
	// Region and AvailabilityZone are those of the router that decides.
	Region           string
	AvailabilityZone string
	// Chain holds the block hashes of the prompt, the first block first.
	Chain []hasher.Hash
	// HomeBlocks is the number of leading blocks that name the home, 0 where it
	// is not known.
	HomeBlocks int
	// SharedBlocks is the number of leading blocks that recent requests have
	// in common, 0 where it is not known.
	SharedBlocks int
	// Replicas is the number of upstreams that should hold them; 0 stands for 1.
	Replicas int
	// PromptBytes is the size of the prompt, MaxTokens the longest answer.
	PromptBytes int
	MaxTokens   int
	// Interactive is false for batch work.
	Interactive bool
}

// homeDepth returns the number of leading blocks that name the home of r.
func (r *Request) homeDepth() int {
	if r.HomeBlocks > 0 {
		return min(r.HomeBlocks, len(r.Chain))
	}
	return min(max(r.SharedBlocks, len(r.Chain)/2), len(r.Chain))
}
