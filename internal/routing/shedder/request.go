// Package shedder decides in which order requests that compete for the same
// capacity are served, and which of them are refused. It does no I/O and reads no
// clock.
package shedder

import "time"

// Request describes a request that waits for capacity.
type Request struct {
	ID           string
	Organisation string
	// Priority is the urgency, 0 being the most urgent.
	Priority  int
	ArrivedAt time.Time
	// DueAt is when the first event is due, or zero without an objective.
	DueAt time.Time
	// StartBy is the latest start that is of any use: by then, the request is
	// refused.
	StartBy time.Time
	// Deadline is when the answer is worth nothing.
	Deadline time.Time
	// StartAt is the estimated start at the best upstream if no other request
	// waited. A time in the past means that the upstream starts it at once.
	StartAt time.Time
	// Work is the estimated time from the start to the first event at that
	// upstream, Hold the time for which the request occupies capacity.
	Work time.Duration
	Hold time.Duration
	// Overuse is the level by which the organisation exceeds its fair share; see
	// Usage.
	Overuse int
}

// latestStart returns the latest start with which the first event is in time.
func (r *Request) latestStart() time.Time {
	if r.DueAt.IsZero() {
		return r.Deadline.Add(-r.Work)
	}
	return r.DueAt.Add(-r.Work)
}

// lastUsefulStart returns the latest start with which the request is answered at all.
func (r *Request) lastUsefulStart() time.Time {
	last := r.Deadline.Add(-r.Work)
	if !r.StartBy.IsZero() && r.StartBy.Before(last) {
		return r.StartBy
	}
	return last
}

// earliestStart returns the estimated start if no other request waited.
func (r *Request) earliestStart(now time.Time) time.Time {
	if r.StartAt.Before(now) {
		return now
	}
	return r.StartAt
}

// Late reports whether the request would miss its objective even if no other
// request waited.
func (r *Request) Late(now time.Time) bool {
	return r.earliestStart(now).After(r.latestStart())
}
