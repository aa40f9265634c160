package quarantiner

import "time"

// EventType is the type of an Event.
type EventType uint8

// Types of events.
const (
	// Crashed is a Crash.
	Crashed EventType = iota + 1
	// Answered is a complete response, which clears the fingerprints.
	Answered
	// Refused is a request that was refused since the fingerprints are quarantined.
	Refused
	// Known is a quarantine that an earlier hub had decided.
	Known
)

// Event is what a VM reports to the hub.
type Event struct {
	Type         EventType
	Fingerprints []Fingerprint
	Process      Process
	Weights      uint64
	// SentAt is when the request of a crash was sent, At when the event was: of Known, when
	// the last crash was.
	SentAt time.Time
	At     time.Time
	// Trials and TrialAt belong to Known, see Row.
	Trials  int
	TrialAt time.Time
}

// Apply applies an event that a VM has reported.
func (l *Ledger) Apply(now time.Time, vm string, e Event) {
	switch e.Type {
	case Crashed:
		l.RecordCrash(now, Crash{Fingerprints: e.Fingerprints, Process: e.Process, Weights: e.Weights, SentAt: e.SentAt, At: e.At})
	case Answered:
		for _, f := range e.Fingerprints {
			l.RecordAnswer(now, f, e.At, e.Weights)
		}
	case Refused:
		l.RecordDemand(now, vm, e.Fingerprints)
	case Known:
		for _, f := range e.Fingerprints {
			l.Adopt(now, Row{Fingerprint: f, State: Quarantined, LastAt: e.At, Trials: e.Trials, TrialAt: e.TrialAt})
		}
	}
}
