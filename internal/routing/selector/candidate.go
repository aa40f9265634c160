package selector

import "time"

// Candidate is an upstream that may serve a request, with what is believed of
// it at the moment of the selection.
type Candidate struct {
	Name             string
	Region           string
	AvailabilityZone string
	Incarnation      uint64
	// Slots is the number of requests the upstream runs side by side.
	Slots int
	// Queued and Running are the last report corrected by own sends since then.
	Queued  float64
	Running float64
	// QueuedBlocks is the prefill work that waits, in blocks.
	QueuedBlocks float64
	// ReportedAt is when the load was reported; zero where nothing is known.
	ReportedAt time.Time
	// HeldBlocks is the number of leading blocks of the request believed cached.
	HeldBlocks int
	// UnsureBlocks is the number of further leading blocks that were believed
	// cached before a gap in the cache events of the upstream.
	UnsureBlocks int
	// ImportableBlocks is the number of leading blocks that can be imported
	// from the store of kept cache rather than computed.
	ImportableBlocks int
	// ImportPerBlock is the time to import one block; zero allows no import.
	ImportPerBlock time.Duration
	// PrefillPerBlock is the observed time to compute one block.
	PrefillPerBlock time.Duration
	// ServiceTime is the observed time that a request holds a slot.
	ServiceTime time.Duration
	// Suspect is true while the upstream cools down after failures.
	Suspect bool
}

// load returns the number of requests per slot.
func (c *Candidate) load() float64 {
	return (c.Queued + c.Running) / float64(max(c.Slots, 1))
}
