package indexer

// Kind is the kind of a cache event.
type Kind string

// Kinds of cache events.
const (
	// Stored reports that the upstream now holds the blocks.
	Stored Kind = "stored"
	// Evicted reports that the upstream no longer holds the blocks.
	Evicted Kind = "evicted"
	// Cleared reports that the upstream holds no block of the model.
	Cleared Kind = "cleared"
)
