package disrupter

import (
	"errors"
	"strings"
)

// Kind is the effect of a fault.
type Kind string

// Kinds of faults.
const (
	// Refuse responds with status 503 and X-Not-Run. The handler doesn't run.
	Refuse Kind = "refuse"
	// Fail responds with status 500. The handler doesn't run.
	Fail Kind = "fail"
	// Redirect responds with status 307 to the same path. The handler doesn't run.
	Redirect Kind = "redirect"
	// Reset aborts the connection.
	Reset Kind = "reset"
	// Close ends the response early as if it were complete.
	Close Kind = "close"
	// Silent sends nothing more and keeps the connection open until the client
	// closes it.
	Silent Kind = "silent"
	// Duplicate sends an event twice.
	Duplicate Kind = "duplicate"
	// Drop omits an event.
	Drop Kind = "drop"
	// Reorder sends an event after the next one.
	Reorder Kind = "reorder"
	// Malformed sends an event that is not JSON.
	Malformed Kind = "malformed"
	// Oversized sends an event that exceeds the size limit of the parser.
	Oversized Kind = "oversized"
	// Crossed sends an event, or response headers, with the ID of another request.
	Crossed Kind = "crossed"
	// Late sends response headers with an earlier attempt.
	Late Kind = "late"
	// Restarted sends response headers with another incarnation.
	Restarted Kind = "restarted"
	// OtherWeights sends response headers with another weights version.
	OtherWeights Kind = "other_weights"
	// Double sends the complete response a second time after its end.
	Double Kind = "double"
	// Leaving states in the response headers that the upstream is leaving. Before the
	// handler runs, it refuses the request.
	Leaving Kind = "leaving"
	// HoldOff refuses the request and asks for none for Fault.HoldOff seconds.
	HoldOff Kind = "hold_off"
	// Flood sends comments until the client closes the connection.
	Flood Kind = "flood"
)

// Place is the point of an exchange at which a fault is injected.
type Place string

// Places of injection.
const (
	// BeforeRun is before the handler runs. The fault replaces its response.
	BeforeRun Place = "before_run"
	// AfterRun is after the handler has run. Its response is discarded.
	AfterRun Place = "after_run"
	// BeforeHead is before the response headers are sent.
	BeforeHead Place = "before_head"
	// AtEvent is at the event, or write, with the number Fault.Event.
	AtEvent Place = "at_event"
)

// Fault is a fault to inject into a number of requests.
type Fault struct {
	// Method and PathPrefix select requests; an empty one matches all.
	Method     string `json:"method,omitempty"`
	PathPrefix string `json:"path_prefix,omitempty"`
	Place      Place  `json:"place"`
	Kind       Kind   `json:"kind"`
	// Event is the number of the write to alter if Place is AtEvent. The first is 1.
	Event int `json:"event,omitempty"`
	// HoldOff is the value of Retry-After, in seconds.
	HoldOff string `json:"hold_off,omitempty"`
	// Times is the number of requests that the fault still applies to.
	Times int `json:"times"`
}

// Check returns an error for the first invalid field.
func (f Fault) Check() error {
	if f.Kind == "" || f.Place == "" || f.Times < 1 {
		return errors.New("fault takes a kind, a place and times of 1 or more")
	}
	if f.Place == AtEvent && f.Event < 1 {
		return errors.New("fault at an event takes its number from 1")
	}
	if (f.Kind == HoldOff) != (f.HoldOff != "") {
		return errors.New("fault takes the seconds of a hold-off if it is one")
	}
	return nil
}

func (f Fault) matches(method, path string) bool {
	return f.Times > 0 && (f.Method == "" || f.Method == method) && strings.HasPrefix(path, f.PathPrefix)
}
