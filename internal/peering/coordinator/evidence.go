package coordinator

import (
	"errors"
	"fmt"
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/quarantiner"
)

const (
	// maxEvidence and maxQuarantineRows bound one message. The rest of the evidence
	// follows in the next one.
	maxEvidence       = 256
	maxQuarantineRows = 8192
	// maxAge bounds the ages that a message states.
	maxAge = 24 * time.Hour
)

// Evidence is a quarantiner.Event of a VM. Times are ages, since clocks differ.
type Evidence struct {
	Type         quarantiner.EventType     `cbor:"1,keyasint"`
	Fingerprints []quarantiner.Fingerprint `cbor:"2,keyasint"`
	Upstream     string                    `cbor:"3,keyasint,omitempty"`
	// StartedMillis is the start of its process in Unix milliseconds.
	StartedMillis int64  `cbor:"4,keyasint,omitempty"`
	Weights       uint64 `cbor:"5,keyasint,omitempty"`
	// SentMillis and Millis are how long ago the request was sent and the event was.
	SentMillis int64 `cbor:"6,keyasint,omitempty"`
	Millis     int64 `cbor:"7,keyasint,omitempty"`
	Trials     int   `cbor:"8,keyasint,omitempty"`
	// TrialInMillis is the time until the next trial.
	TrialInMillis int64 `cbor:"9,keyasint,omitempty"`
}

// Quarantine is a quarantiner.Row of the hub. Times are relative to that of the message.
type Quarantine struct {
	Fingerprint quarantiner.Fingerprint `cbor:"1,keyasint"`
	State       quarantiner.State       `cbor:"2,keyasint,omitempty"`
	// FirstMillis and LastMillis are how long ago the first crash was and the last.
	FirstMillis int64 `cbor:"3,keyasint,omitempty"`
	LastMillis  int64 `cbor:"4,keyasint,omitempty"`
	// TrialInMillis is the time until the next trial. The latest of Trials is at TrialVM for
	// another TrialForMillis.
	TrialInMillis  int64  `cbor:"5,keyasint,omitempty"`
	Trials         int    `cbor:"6,keyasint,omitempty"`
	TrialVM        string `cbor:"7,keyasint,omitempty"`
	TrialForMillis int64  `cbor:"8,keyasint,omitempty"`
}

func newEvidence(now time.Time, events []quarantiner.Event) []Evidence {
	list := make([]Evidence, 0, len(events))
	for _, e := range events {
		v := Evidence{Type: e.Type, Fingerprints: e.Fingerprints, Weights: e.Weights, Millis: millisSince(now, e.At), Trials: e.Trials}
		switch e.Type {
		case quarantiner.Crashed:
			v.Upstream, v.StartedMillis = e.Process.Upstream, registrar.StartMillis(e.Process.StartedAt)
			v.SentMillis = millisSince(now, e.SentAt)
		case quarantiner.Known:
			v.TrialInMillis = millisSince(e.TrialAt, now)
		case quarantiner.Answered, quarantiner.Refused:
		}
		list = append(list, v)
	}
	return list
}

// event returns the event that a message received at a time states.
func (v Evidence) event(now time.Time) quarantiner.Event {
	return quarantiner.Event{
		Type:         v.Type,
		Fingerprints: v.Fingerprints,
		Process:      quarantiner.Process{Upstream: v.Upstream, StartedAt: time.UnixMilli(v.StartedMillis)},
		Weights:      v.Weights,
		SentAt:       now.Add(-millis(v.SentMillis)),
		At:           now.Add(-millis(v.Millis)),
		Trials:       v.Trials,
		TrialAt:      now.Add(millis(v.TrialInMillis)),
	}
}

func newQuarantines(now time.Time, rows []quarantiner.Row) []Quarantine {
	list := make([]Quarantine, 0, len(rows))
	for _, row := range rows {
		q := Quarantine{Fingerprint: row.Fingerprint, State: row.State}
		if row.State != quarantiner.Clear {
			q.FirstMillis, q.LastMillis = millisSince(now, row.FirstAt), millisSince(now, row.LastAt)
		}
		if row.State == quarantiner.Quarantined {
			q.TrialInMillis = millisSince(row.TrialAt, now)
			q.Trials, q.TrialVM, q.TrialForMillis = row.Trials, row.TrialVM, millisSince(row.TrialUntil, now)
		}
		list = append(list, q)
	}
	return list
}

// quarantineRows returns the rows that a message received at a time states.
func quarantineRows(now time.Time, list []Quarantine) []quarantiner.Row {
	rows := make([]quarantiner.Row, 0, len(list))
	for _, q := range list {
		rows = append(rows, quarantiner.Row{
			Fingerprint: q.Fingerprint,
			State:       q.State,
			FirstAt:     now.Add(-millis(q.FirstMillis)),
			LastAt:      now.Add(-millis(q.LastMillis)),
			TrialAt:     now.Add(millis(q.TrialInMillis)),
			Trials:      q.Trials,
			TrialVM:     q.TrialVM,
			TrialUntil:  now.Add(millis(q.TrialForMillis)),
		})
	}
	return rows
}

// millisSince returns the time from then to now in milliseconds, 0 if it is negative.
func millisSince(now, then time.Time) int64 {
	return min(max(now.Sub(then), 0), maxAge).Milliseconds()
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func checkMillis(list ...int64) error {
	for _, n := range list {
		if n < 0 || n > maxAge.Milliseconds() {
			return fmt.Errorf("time of %d ms is out of range", n)
		}
	}
	return nil
}

func checkEvidence(list []Evidence) error {
	if len(list) > maxEvidence {
		return fmt.Errorf("got %d events, want at most %d", len(list), maxEvidence)
	}
	for _, v := range list {
		if v.Type < quarantiner.Crashed || v.Type > quarantiner.Known {
			return fmt.Errorf("event: type %d is unknown", v.Type)
		}
		if n := len(v.Fingerprints); n == 0 || n > quarantiner.MaxFingerprints {
			return fmt.Errorf("event: got %d fingerprints, want 1 to %d", n, quarantiner.MaxFingerprints)
		}
		for _, f := range v.Fingerprints {
			if err := f.Check(); err != nil {
				return fmt.Errorf("event: %w", err)
			}
		}
		if v.Type == quarantiner.Crashed && v.Upstream == "" {
			return errors.New("event: upstream is missing")
		}
		if v.Trials < 0 {
			return errors.New("event: number of trials is negative")
		}
		if err := checkMillis(v.SentMillis, v.Millis, v.TrialInMillis); err != nil {
			return fmt.Errorf("event: %w", err)
		}
	}
	return nil
}

func checkQuarantines(list []Quarantine) error {
	if len(list) > maxQuarantineRows {
		return fmt.Errorf("got %d quarantines, want at most %d", len(list), maxQuarantineRows)
	}
	for _, q := range list {
		if err := q.Fingerprint.Check(); err != nil {
			return fmt.Errorf("quarantine: %w", err)
		}
		if q.State > quarantiner.Quarantined || q.Trials < 0 {
			return fmt.Errorf("quarantine %s: state %d or number of trials %d is out of range", q.Fingerprint, q.State, q.Trials)
		}
		if err := checkMillis(q.FirstMillis, q.LastMillis, q.TrialInMillis, q.TrialForMillis); err != nil {
			return fmt.Errorf("quarantine %s: %w", q.Fingerprint, err)
		}
	}
	return nil
}

// applyEvidence applies the events that a VM has reported. The caller must hold h.mu.
func (h *Hub) applyEvidence(now time.Time, node string, list []Evidence) {
	for _, v := range list {
		h.ledger.Apply(now, node, v.event(now))
	}
}

// advanceLedger starts the quarantines and trials that are due. The caller must hold h.mu.
func (h *Hub) advanceLedger(now time.Time) {
	next := h.ledger.Advance(now)
	if next.IsZero() {
		return
	}
	h.ledgerTimer.reset(max(next.Sub(now), minPushInterval), h.signal)
}

// Quarantines returns the decisions on all fingerprints that are not clear.
func (h *Hub) Quarantines() []quarantiner.Row {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Rows()
}

// drainQuarantines returns the decisions that have changed since the last frame. The caller
// must hold h.mu.
func (h *Hub) drainQuarantines(now time.Time) []Quarantine {
	rows := h.ledger.DrainChanges()
	for _, row := range rows {
		if row.State != quarantiner.Quarantined {
			continue // suspects are many when upstreams end, and VMs log the end of a quarantine
		}
		strikes, upstreams := h.ledger.Strikes(row.Fingerprint)
		h.cfg.Log.WithFields(map[string]any{
			"event":       "quarantine_decided",
			"fingerprint": row.Fingerprint,
			"strikes":     strikes,
			"upstreams":   upstreams,
			"trials":      row.Trials,
			"trial_vm":    row.TrialVM,
		}).Info("decision on requests under which upstreams have crashed")
	}
	return newQuarantines(now, rows)
}
