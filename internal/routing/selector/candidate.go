package selector

import "time"

// Candidate is an upstream that may serve a request, with its estimated state
// at the time of the selection.
type Candidate struct {
	Name             string
	Region           string
	AvailabilityZone string
	Incarnation      uint64
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Queued and Running are the request counts of the last load report, adjusted
	// for requests that this router has sent since.
	Queued  float64
	Running float64
	// QueuedBlocks is the pending prefill work, in blocks.
	QueuedBlocks float64
	// ReportedAt is the time of the last load report, zero if there is none.
	ReportedAt time.Time
	// HeldBlocks is the estimated number of leading blocks of the request in the
	// cache of the upstream.
	HeldBlocks int
	// UnsureBlocks is the number of blocks after HeldBlocks that were cached
	// before cache events of the upstream were lost and may have been evicted.
	UnsureBlocks int
	// ImportableBlocks is the number of leading blocks that can be imported
	// from the store of exported cache blocks instead of being computed.
	ImportableBlocks int
	// ImportPerBlock is the time to import one block; zero disables imports.
	ImportPerBlock time.Duration
	// PrefillPerBlock is the observed time to compute one block.
	PrefillPerBlock time.Duration
	// ServiceTime is the observed time that a request occupies a slot.
	ServiceTime time.Duration
	// Suspect is true during the cooldown after failures of the upstream.
	Suspect bool
}

// load returns the number of requests per slot.
func (c *Candidate) load() float64 {
	return (c.Queued + c.Running) / float64(max(c.Slots, 1))
}
