package disrupter

import (
	"errors"
	"strings"
)

// Kind names what a fault does.
type Kind string

// Kinds of faults.
const (
	// Refuse answers 503 with X-Not-Run before the handler runs.
	Refuse Kind = "refuse"
	// Fail answers 500 before the handler runs.
	Fail Kind = "fail"
	// Redirect answers 307 to the same path before the handler runs.
	Redirect Kind = "redirect"
	// Reset breaks the connection.
	Reset Kind = "reset"
	// Close ends the answer early as if it were whole.
	Close Kind = "close"
	// Silent sends nothing more and keeps the connection open.
	Silent Kind = "silent"
	// Duplicate sends an event twice.
	Duplicate Kind = "duplicate"
	// Drop leaves an event out.
	Drop Kind = "drop"
	// Reorder sends an event after the next one.
	Reorder Kind = "reorder"
	// Malformed sends an event that is not JSON.
	Malformed Kind = "malformed"
	// Oversized sends an event that is too large.
	Oversized Kind = "oversized"
	// Crossed sends an event, or a head, of another request.
	Crossed Kind = "crossed"
	// Late sends a head that names an earlier attempt.
	Late Kind = "late"
	// Restarted sends a head that names another incarnation.
	Restarted Kind = "restarted"
	// OtherWeights sends a head that names another weights version.
	OtherWeights Kind = "other_weights"
	// Double sends a second whole answer after the first one.
	Double Kind = "double"
)

// Place is where in an exchange a fault strikes.
type Place string

// Places.
const (
	// BeforeRun is before the handler sees the request.
	BeforeRun Place = "before_run"
	// AfterRun is after the handler is done, of whose answer nothing is sent.
	AfterRun Place = "after_run"
	// BeforeHead is when the handler begins to answer.
	BeforeHead Place = "before_head"
	// AtEvent is at the event, or the write, of number Event from 1.
	AtEvent Place = "at_event"
)

// Fault is one fault, which strikes a number of requests.
type Fault struct {
	// Method and PathPrefix pick requests; empty ones pick all.
	Method     string `json:"method,omitempty"`
	PathPrefix string `json:"path_prefix,omitempty"`
	Place      Place  `json:"place"`
	Kind       Kind   `json:"kind"`
	// Event is the write that is struck where Place is AtEvent, from 1.
	Event int `json:"event,omitempty"`
	// Times is the number of requests to strike.
	Times int `json:"times"`
}

// Check reports the first mistake in the fault.
func (f Fault) Check() error {
	if f.Kind == "" || f.Place == "" || f.Times < 1 {
		return errors.New("fault takes a kind, a place and times of 1 or more")
	}
	if f.Place == AtEvent && f.Event < 1 {
		return errors.New("fault at an event takes its number from 1")
	}
	return nil
}

func (f Fault) picks(method, path string) bool {
	return f.Times > 0 && (f.Method == "" || f.Method == method) && strings.HasPrefix(path, f.PathPrefix)
}
