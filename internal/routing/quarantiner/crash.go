package quarantiner

import "time"

// Process identifies a process of an upstream.
type Process struct {
	Upstream  string
	StartedAt time.Time
}

// Crash is a request that its upstream had not begun to answer, or just so, when its
// process ended.
type Crash struct {
	Fingerprints []Fingerprint
	Process      Process
	// Weights is the version of the weights of an engine.
	Weights uint64
	// SentAt is when the request was sent, At when its connection broke.
	SentAt time.Time
	At     time.Time
}
