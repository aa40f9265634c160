package quarantiner

import "time"

// State is what a ledger has decided of a fingerprint.
type State uint8

// States of a fingerprint.
const (
	// Clear sends requests as usual.
	Clear State = iota
	// Suspect does too, and asks for answers to such requests.
	Suspect
	// Quarantined refuses requests.
	Quarantined
)

// Row is the decision on one fingerprint.
type Row struct {
	Fingerprint Fingerprint
	State       State
	// FirstAt and LastAt are the times of the first crash that counts and of the last.
	FirstAt time.Time
	LastAt  time.Time
	// TrialAt is when the next trial is due.
	TrialAt time.Time
	// Trials is the number of trials so far; the latest is at TrialVM, until TrialUntil.
	Trials     int
	TrialVM    string
	TrialUntil time.Time
}

// Rows returns the decisions on all fingerprints that are not clear.
func (l *Ledger) Rows() []Row {
	rows := make([]Row, 0, l.quarantines.Len()+len(l.suspected))
	for _, f := range l.quarantines.Keys() {
		rows = append(rows, l.row(f))
	}
	for f := range l.suspected {
		rows = append(rows, l.row(f))
	}
	return rows
}

// HasChanges reports whether there are decisions that DrainChanges has not returned.
func (l *Ledger) HasChanges() bool { return len(l.changed) > 0 }

// DrainChanges returns the decisions that have changed since the last call.
func (l *Ledger) DrainChanges() []Row {
	rows := make([]Row, 0, len(l.changed))
	for f := range l.changed {
		rows = append(rows, l.row(f))
	}
	clear(l.changed)
	return rows
}

func (l *Ledger) row(f Fingerprint) Row {
	row := Row{Fingerprint: f}
	r, ok := l.quarantines.Peek(f)
	if !ok {
		if r, ok = l.suspects.Peek(f); !ok || r.suspectAt.IsZero() {
			return row
		}
	}
	row.State, row.LastAt, row.FirstAt = Suspect, r.lastAt, r.lastAt
	if len(r.crashes) > 0 {
		row.FirstAt = r.crashes[0].at
	}
	if !r.quarantinedAt.IsZero() {
		row.State = Quarantined
		row.TrialAt, row.Trials = r.trials.dueAt, r.trials.count
		row.TrialVM, row.TrialUntil = r.trials.vm, r.trials.until
	}
	return row
}

// String returns the name of the state in the log.
func (s State) String() string {
	switch s {
	case Suspect:
		return "suspect"
	case Quarantined:
		return "quarantined"
	case Clear:
	}
	return "clear"
}
