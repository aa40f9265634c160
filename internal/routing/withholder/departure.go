package withholder

import (
	"slices"
	"strings"
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
)

// departureTTL is how long after the end of its drain period a departure is sent to
// other VMs, and applies to an upstream whose processes cannot be distinguished.
const departureTTL = 10 * time.Minute

// departure is the statement of a process that it is leaving. Responses state no start
// time, so that only bounds of the process are available.
type departure struct {
	// earliest is the earliest process that can have made the statement.
	earliest Incarnation
	// before is the start of the earliest process that has been shown not to have made
	// it, zero if there is none.
	before time.Time
	// receivedAt is when this VM has received the latest response with the statement.
	receivedAt time.Time
	// drainUntil is the end of the drain period.
	drainUntil time.Time
	// received is false if other VMs alone have reported the statement.
	received bool
}

// certainty says whether a process has stated that it is leaving.
type certainty int

const (
	// notLeaving means that another process has made the statement.
	notLeaving certainty = iota
	// maybeLeaving means that the process or another one has.
	maybeLeaving
	// leaving means that the process has, or a later one whose entry has not arrived.
	leaving
)

// applies returns whether a process with the ID of the departure, or at its address, has
// made the statement.
func (d *departure) applies(i Incarnation) certainty {
	switch {
	case i.movedFrom(d.earliest), !d.before.IsZero() && !i.StartedAt.Before(d.before):
		return notLeaving
	case d.earliest.ID != "" && i.StartedAt.Equal(d.earliest.StartedAt):
		return leaving
	}
	return maybeLeaving // an earlier start is of an outdated entry, or by a clock that was set back
}

// hasEnded reports whether the departure no longer applies to any process of its ID: they
// cannot be distinguished, and the one that has made the statement is gone by now.
func (d *departure) hasEnded(now time.Time, i Incarnation) bool {
	return d.earliest.StartedAt.IsZero() && i.StartedAt.IsZero() && !now.Before(d.drainUntil.Add(departureTTL))
}

// record adds the statement of a process that has started no earlier than earliest.
func (d *departure) record(earliest Incarnation) {
	if earliest.StartedAt.After(d.earliest.StartedAt) {
		d.earliest = earliest
	}
}

// RecordDeparture records a report of another VM that an incarnation is leaving, and
// returns the resulting changes. This VM may not have an entry of it yet.
func (w *Withholder) RecordDeparture(now time.Time, i Incarnation) []Change {
	d := w.departures[i.key()]
	if d != nil && d.applies(i) != notLeaving {
		d.record(i)
		return nil
	}
	if d != nil && d.earliest.movedFrom(i) {
		return nil // superseded by a later process
	}
	d = &departure{earliest: i, drainUntil: now.Add(w.cfg.Drain)}
	if !i.StartedAt.IsZero() {
		d.before = i.StartedAt.Add(time.Nanosecond)
	}
	add(w.departures, i.key(), d)
	return []Change{{LeavingHeard, i, d.drainUntil}}
}

// recordLeaving records a response in which the process i or a later one states that it
// is leaving.
func (w *Withholder) recordLeaving(now time.Time, i Incarnation) []Change {
	d := w.departures[i.key()]
	if d != nil && d.applies(i) != notLeaving && !d.hasEnded(now, i) {
		d.record(i)
		d.receivedAt, d.received, d.before = now, true, time.Time{}
		return nil
	}
	until := now.Add(w.cfg.Drain)
	if unknown := w.departures[recordKey{address: i.Address}]; unknown != nil && unknown.applies(i) != notLeaving && unknown.drainUntil.Before(until) {
		until = unknown.drainUntil
	}
	add(w.departures, i.key(), &departure{earliest: i, receivedAt: now, drainUntil: until, received: true})
	return []Change{{LeavingTold, i, until}}
}

// leavingUntil returns the end of the drain period of u and whether it is certain that u
// is leaving. The time is zero if it is not.
func (w *Withholder) leavingUntil(now time.Time, u *registrar.Upstream) (time.Time, bool) {
	i := newIncarnation(u)
	if d := w.departures[i.key()]; d != nil && !d.hasEnded(now, i) {
		if c := d.applies(i); c != notLeaving {
			return d.drainUntil, c == leaving
		}
	}
	if d := w.departures[recordKey{address: u.Address}]; d != nil && d.applies(i) != notLeaving {
		return d.drainUntil, false
	}
	return time.Time{}, false
}

// Unverified reports whether u may have stated that it is leaving, or an earlier process
// has. A response of u to a request from now on shows which; see RecordCheck.
func (w *Withholder) Unverified(now time.Time, u *registrar.Upstream) bool {
	until, certain := w.leavingUntil(now, u)
	return !until.IsZero() && !certain
}

// RecordCheck records a response of u itself to a request that was sent when u was its
// current entry. A process that is leaving states so in each response, so that one which
// does not has not made an earlier statement. It returns the resulting changes.
func (w *Withholder) RecordCheck(now time.Time, u *registrar.Upstream, n Notice) []Change {
	if n.Instance != u.ID || n.Misdirected {
		return nil
	}
	changes := w.Record(now, u, n)
	if n.Leaving {
		return changes
	}
	i, ended := newIncarnation(u), false
	for _, key := range []recordKey{i.key(), {address: u.Address}} {
		d := w.departures[key]
		if d == nil || d.applies(i) != maybeLeaving || !n.SentAt.After(d.receivedAt) {
			continue
		}
		ended = true
		if d.before = u.StartedAt; !d.before.After(d.earliest.StartedAt) {
			delete(w.departures, key)
		}
	}
	if ended {
		changes = append(changes, Change{LeavingEnded, i, time.Time{}})
	}
	return changes
}

// Departures returns the incarnations whose statement that they are leaving this VM has
// received, sorted by ID.
func (w *Withholder) Departures(now time.Time) []Incarnation {
	var list []Incarnation
	for _, d := range w.departures {
		if d.received && d.earliest.ID != "" && now.Before(d.drainUntil.Add(departureTTL)) {
			list = append(list, d.earliest)
		}
	}
	slices.SortFunc(list, func(a, b Incarnation) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// recordedAt implements dated.
func (d *departure) recordedAt() time.Time { return d.drainUntil }
