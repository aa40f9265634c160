package estimator

import "time"

// Ticket identifies a request in flight at one upstream.
type Ticket uint64

// SentRequest describes a request that the router sends to an upstream.
type SentRequest struct {
	Upstream string
	// Blocks is the number of blocks the upstream is expected to compute.
	Blocks int
	// ExpectedWait is the queue time that the selection expected.
	ExpectedWait time.Duration
}

// inFlightRequest is a request that has not ended.
type inFlightRequest struct {
	send   SentRequest
	sentAt time.Time
	// computing is true until the first token.
	computing bool
}
