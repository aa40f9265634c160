package watcher

import (
	"slices"
	"strings"
	"time"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// maxNameBytes bounds the upstream name of a received departure.
const maxNameBytes = 64

// Departure announces to other processes that an upstream is leaving.
type Departure struct {
	Upstream string `cbor:"1,keyasint"`
	// Incarnation is the upstream's incarnation that is leaving, or 0 if unknown.
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	Signal      Signal `cbor:"3,keyasint"`
	// At is when the last signal was received.
	At time.Time `cbor:"4,keyasint"`
}

// Check validates a received departure and returns the first error found.
func (d Departure) Check() error {
	if d.Upstream == "" || len(d.Upstream) > maxNameBytes {
		return classifier.New(classifier.MessageInvalid, "invalid upstream name %q in departure", d.Upstream)
	}
	if !slices.Contains([]Signal{PlatformList, OwnReport, Order, Refusals}, d.Signal) {
		return classifier.New(classifier.MessageInvalid, "unknown signal %q in departure", d.Signal)
	}
	if d.At.IsZero() {
		return classifier.New(classifier.MessageInvalid, "departure has no time")
	}
	return nil
}

// HandleDeparture applies a departure received from another process. It ignores
// one of an older incarnation, and one that is not of a newer incarnation and
// predates the report by which the upstream last returned to service.
func (w *Watcher) HandleDeparture(d Departure) []Change {
	u, ok := w.upstreams[d.Upstream]
	if !ok || d.Incarnation < u.Incarnation && d.Incarnation != 0 {
		return nil
	}
	if d.Incarnation <= u.Incarnation && !d.At.After(u.restoredAt) {
		return nil
	}
	u.Incarnation = max(u.Incarnation, d.Incarnation)
	if d.Signal == PlatformList {
		u.holdDownUntil = later(u.holdDownUntil, d.At.Add(listHoldDown))
	}
	return w.markLeaving(d.At, d.Upstream, d.Signal)
}

// Departures returns a departure for each leaving upstream, sorted by name.
// While the last platform list that could be read shows an upstream as leaving,
// its signal is renewed with the current time.
func (w *Watcher) Departures(now time.Time) []Departure {
	var departures []Departure
	for name, u := range w.upstreams {
		if u.State == Leaving && u.listed {
			u.lastSignalAt = later(u.lastSignalAt, now)
		}
		if u.State == Leaving {
			departures = append(departures, Departure{Upstream: name, Incarnation: u.Incarnation, Signal: u.Signal, At: u.lastSignalAt})
		}
	}
	slices.SortFunc(departures, func(a, b Departure) int { return strings.Compare(a.Upstream, b.Upstream) })
	return departures
}
