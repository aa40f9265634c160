package admitter

import (
	"time"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// Outcome tells what becomes of an arriving request.
type Outcome string

// Outcomes of an arrival.
const (
	Admitted Outcome = "admitted"
	Queued   Outcome = "queued"
	Refused  Outcome = "refused"
)

// Decision is the answer to an arrival.
type Decision struct {
	Outcome Outcome
	// Wait is the estimated time to a slot.
	Wait time.Duration
	// GiveUpAt is when a queued request is refused unless it was admitted before.
	GiveUpAt time.Time
	// Err tells why the request was refused and when to come back.
	Err *classifier.Error
	// Displaced lists waiting requests that gave up their place to this one.
	Displaced []Refusal
}

// Refusal is the end of a request that never ran.
type Refusal struct {
	ID  string
	Err *classifier.Error
}

// Effects lists what an event changed for waiting requests.
type Effects struct {
	Admitted []string
	Refused  []Refusal
}

// Status is a summary for operators.
type Status struct {
	Slots              int `json:"slots"`
	InteractiveRunning int `json:"interactive_running"`
	InteractiveWaiting int `json:"interactive_waiting"`
	BatchRunning       int `json:"batch_running"`
	BatchWaiting       int `json:"batch_waiting"`
	// BatchSlots is the number of slots that batch work may hold at present.
	BatchSlots int `json:"batch_slots"`
}
