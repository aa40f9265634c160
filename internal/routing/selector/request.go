// Package selector chooses the upstream that serves a request. It performs no I/O
// and does not read the clock.
package selector

import "gentianstep.example/gentianstep/internal/caching/hasher"

// Request holds the properties of a request that a policy can use.
type Request struct {
	ID             string
	Organisation   string
	Model          string
	WeightsVersion string
	// Region and AvailabilityZone are the location of the router.
	Region           string
	AvailabilityZone string
	// Chain holds the block hashes of the prompt in order.
	Chain []hasher.Hash
	// HomeBlocks is the number of leading blocks that determine the home of the
	// prompt, 0 if unknown.
	HomeBlocks int
	// SharedBlocks is the number of leading blocks that recent requests have
	// in common, 0 if unknown.
	SharedBlocks int
	// Replicas is the number of upstreams that should hold the home prefix; 0
	// means 1.
	Replicas int
	// PromptBytes is the size of the prompt, MaxTokens the limit of completion
	// tokens.
	PromptBytes int
	MaxTokens   int
	// Interactive is false for batch requests.
	Interactive bool
}

// homeDepth returns the length of the home prefix of r: the number of leading
// blocks that determine its home. If HomeBlocks is unknown, it is the shared prefix
// or half the prompt, whichever is longer.
func (r *Request) homeDepth() int {
	if r.HomeBlocks > 0 {
		return min(r.HomeBlocks, len(r.Chain))
	}
	return min(max(r.SharedBlocks, len(r.Chain)/2), len(r.Chain))
}
