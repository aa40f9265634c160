package withholder

import (
	"slices"
	"strings"
	"time"
)

// departureTTL is how long after the end of its drain period other VMs are told of
// an incarnation that is leaving.
const departureTTL = 10 * time.Minute

// RecordDeparture records that an incarnation has told another VM that it is
// leaving, and returns the resulting changes. It may not be known here yet.
func (w *Withholder) RecordDeparture(now time.Time, i Incarnation) []Change {
	r := w.records[i.key()]
	switch {
	case r == nil || r.incarnation.endedBy(i):
		r = w.create(i)
		r.toldAt, r.heard = now, true
	case i.endedBy(r.incarnation) || !r.drainUntil.IsZero():
		return nil
	}
	r.drainUntil = now.Add(w.cfg.Drain)
	return []Change{{LeavingHeard, r.incarnation, r.drainUntil}}
}

// Departures returns the incarnations that have told this VM that they are leaving,
// sorted by ID.
func (w *Withholder) Departures(now time.Time) []Incarnation {
	var list []Incarnation
	for _, r := range w.records {
		known := r.incarnation.ID != "" && !r.heard
		if known && !r.drainUntil.IsZero() && now.Before(r.drainUntil.Add(departureTTL)) {
			list = append(list, r.incarnation)
		}
	}
	slices.SortFunc(list, func(a, b Incarnation) int { return strings.Compare(a.ID, b.ID) })
	return list
}
