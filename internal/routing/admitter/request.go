// Package admitter implements admission control: it decides which requests run,
// which are queued and which are refused. It shares the slots of one router
// between organisations by weighted fair queueing, serves interactive requests
// before batch requests and bounds the queue. It performs no I/O, starts no
// goroutines, and callers pass in the time.
package admitter

import (
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

// Request describes one request to the Admitter.
type Request struct {
	// ID is unique among the waiting and running requests.
	ID           string
	Organisation string
	// Weight is the organisation's weight in fair queueing.
	Weight   int
	Priority checker.Priority
	// Cost is the estimated cost in tokens.
	Cost float64
	// Deadline is the time by which the response must be complete, or zero for
	// no deadline.
	Deadline time.Time
}

// minCost is the lowest cost in tokens. Without it, requests without an estimate
// would be free in fair queueing.
const minCost = 1

func (r Request) normalised() Request {
	r.Weight = max(r.Weight, 1)
	if !(r.Cost >= minCost) {
		r.Cost = minCost
	}
	if r.Priority != checker.Batch {
		r.Priority = checker.Interactive
	}
	return r
}
