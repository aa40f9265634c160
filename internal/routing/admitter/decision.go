package admitter

import (
	"time"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// Outcome is the result of an arrival.
type Outcome string

// Possible outcomes of an arrival.
const (
	Admitted Outcome = "admitted"
	Queued   Outcome = "queued"
	Refused  Outcome = "refused"
)

// Decision is the result of Arrive.
type Decision struct {
	Outcome Outcome
	// Wait is the estimated time until a queued request gets a slot.
	Wait time.Duration
	// ExpiresAt is the time at which a queued request is refused if it was not
	// admitted by then.
	ExpiresAt time.Time
	// Err is the reason for a refusal, with the time at which to retry.
	Err *classifier.Error
	// Displaced lists the waiting requests that were evicted from a full queue
	// in favour of this request.
	Displaced []Refusal
}

// Refusal reports a request that was refused without having run.
type Refusal struct {
	ID  string
	Err *classifier.Error
}

// Effects lists the waiting requests that an event admitted or refused.
type Effects struct {
	Admitted []string
	Refused  []Refusal
}

// Status holds the current slot and queue counts.
type Status struct {
	Slots              int `json:"slots"`
	InteractiveRunning int `json:"interactive_running"`
	InteractiveWaiting int `json:"interactive_waiting"`
	BatchRunning       int `json:"batch_running"`
	BatchWaiting       int `json:"batch_waiting"`
	// BatchSlots is the number of slots that batch requests may currently use.
	BatchSlots int `json:"batch_slots"`
}
