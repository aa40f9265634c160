// Package admitter decides which requests run now, which wait and which are
// refused. It shares the slots of one router between organisations by weight,
// puts interactive work before batch work and bounds every queue. It does no
// I/O, starts no goroutine and reads no clock.
package admitter

import (
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

// Request is what admission knows of one request.
type Request struct {
	// ID is unique among the requests that wait or run.
	ID           string
	Organisation string
	// Weight is the organisation's share in relation to the other weights.
	Weight   int
	Priority checker.Priority
	// Cost is the estimated work in tokens.
	Cost float64
	// Deadline is the moment by which the answer has to be complete; zero is none.
	Deadline time.Time
}

// minCost keeps a request without an estimate from being free, in tokens.
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
