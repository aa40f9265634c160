package replicator

// Heat says how widely the prefix of a request is shared.
type Heat struct {
	// SharedBlocks is the number of leading blocks that recent requests have
	// in common with this one.
	SharedBlocks int
	// Replicas is the number of upstreams of the region that should hold them.
	Replicas int
}
