package indexer

// Kind tells what an event says of its blocks.
type Kind string

// Kinds of events.
const (
	// Stored means that the upstream now holds the blocks.
	Stored Kind = "stored"
	// Evicted means that it no longer holds them.
	Evicted Kind = "evicted"
	// Cleared means that it holds no block of the model.
	Cleared Kind = "cleared"
)
