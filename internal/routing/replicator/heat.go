package replicator

// Heat says how a prompt's prefix is shared and where it belongs.
type Heat struct {
	// SharedBlocks is the number of leading blocks that recent requests have
	// in common with this one.
	SharedBlocks int
	// HomeBlocks is the number of leading blocks that name the home: the
	// fewest that one upstream can serve with all the requests that share them.
	HomeBlocks int
	// Replicas is the number of upstreams of the region that should hold them.
	Replicas int
}
