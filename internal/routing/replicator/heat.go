package replicator

// Affinity describes which prefix of a prompt is shared with recent requests, which
// prefix determines its home upstream, and on how many upstreams to replicate it.
type Affinity struct {
	// SharedBlocks is the number of leading blocks that recent requests have
	// in common with this one.
	SharedBlocks int
	// HomeBlocks is the number of leading blocks that determine the home. It is
	// the shortest prefix that is not hot, so that one upstream can serve all
	// requests for it, or the shared prefix if that is hot itself; 0 if there is
	// neither.
	HomeBlocks int
	// Replicas is the number of upstreams in the region that should hold the home
	// prefix.
	Replicas int
}
