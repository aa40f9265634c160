package indexer

// EventKind is the kind of a cache event.
type EventKind string

// Kinds of cache events.
const (
	// Stored reports that the upstream now holds the blocks.
	Stored EventKind = "stored"
	// Evicted reports that the upstream no longer holds the blocks.
	Evicted EventKind = "evicted"
	// Cleared reports that the upstream holds no block of the model.
	Cleared EventKind = "cleared"
)
