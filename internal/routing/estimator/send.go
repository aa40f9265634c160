package estimator

import "time"

// Ticket names one request in flight at one upstream.
type Ticket uint64

// Send is one request that the router sent to an upstream.
type Send struct {
	Upstream string
	// Blocks is the number of blocks the upstream is expected to compute.
	Blocks int
	// Wait is the wait that the selection expected.
	Wait time.Duration
}

// flight is a send that has not ended.
type flight struct {
	send   Send
	sentAt time.Time
	// computing is true until the first token.
	computing bool
}
