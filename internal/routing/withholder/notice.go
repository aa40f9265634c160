package withholder

import (
	"time"

	"gentianstep.example/gentianstep/internal/routing/throttler"
)

// Notice is what an upstream states about itself in the head of any of its
// responses.
type Notice struct {
	// Instance is the ID of the responding instance, empty if not stated.
	Instance string
	// Misdirected is true if the request was meant for another instance or another
	// state of this one. The sender is then not known unless stated.
	Misdirected bool
	// Leaving is true if the instance is shutting down and wants no new requests.
	Leaving bool
	// HoldOff is how long the instance wants no requests; 0 if not stated.
	HoldOff time.Duration
	// Accepted is true if the instance accepted the request.
	Accepted bool
	// Limit is what the response says about the limit of the instance; its times are not set.
	Limit throttler.Statement
	// SentAt is when the attempt to send the request began.
	SentAt time.Time
	// Err describes values that could not be decoded and were ignored.
	Err error
}

// OfOther returns the part of a notice that holds if its response belongs to another request
// than the one that was sent, and may be one of before: that the instance leaves and how long
// it wants no requests, but not its limit, nor that it has accepted the request.
func (n Notice) OfOther() Notice {
	n.Limit.Stated, n.Accepted = false, false
	return n
}

// ChangeType is a kind of change of a Withholder. Its values are logged.
type ChangeType string

// Types of changes.
const (
	// LeavingTold means that an incarnation has stated for the first time that it
	// is leaving.
	LeavingTold ChangeType = "upstream_leaving_told"
	// LeavingHeard means that another VM has told this one that an incarnation is
	// leaving.
	LeavingHeard ChangeType = "upstream_leaving_heard"
	// LeavingEnded means that the process of an entry has not stated that it is leaving:
	// an earlier one has, under the same ID or at the same address.
	LeavingEnded ChangeType = "upstream_leaving_ended"
	// HeldOff means that a hold-off has started or was extended.
	HeldOff ChangeType = "upstream_hold_off"
	// HoldOffCapped means that a hold-off was shortened to the configured limit.
	HoldOffCapped ChangeType = "upstream_hold_off_capped"
)

// Change is a change of the state of one incarnation.
type Change struct {
	Type        ChangeType
	Incarnation Incarnation
	// Until is the end of the drain period or of the hold-off, zero for LeavingEnded.
	Until time.Time
}
