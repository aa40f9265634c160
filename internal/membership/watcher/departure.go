package watcher

import (
	"slices"
	"strings"
	"time"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// maxNameBytes is the longest name in a departure.
const maxNameBytes = 64

// Departure tells others that an upstream leaves.
type Departure struct {
	Upstream string `cbor:"1,keyasint"`
	// Incarnation is the one that leaves, 0 where it is not known.
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	Sign        Sign   `cbor:"3,keyasint"`
	// At is when the last sign came.
	At time.Time `cbor:"4,keyasint"`
}

// Check reports the first fault of a departure that was received.
func (d Departure) Check() error {
	if d.Upstream == "" || len(d.Upstream) > maxNameBytes {
		return classifier.New(classifier.MessageInvalid, "departure: upstream: got %q", d.Upstream)
	}
	if !slices.Contains([]Sign{PlatformList, OwnReport, Order, Refusals}, d.Sign) {
		return classifier.New(classifier.MessageInvalid, "departure: sign: got %q", d.Sign)
	}
	if d.At.IsZero() {
		return classifier.New(classifier.MessageInvalid, "departure: takes a time")
	}
	return nil
}

// HandleDeparture takes in what another process knows. What was known before
// the upstream last came back is void.
func (w *Watcher) HandleDeparture(d Departure) []Change {
	u, ok := w.upstreams[d.Upstream]
	if !ok || d.Incarnation < u.Incarnation && d.Incarnation != 0 {
		return nil
	}
	if d.Incarnation <= u.Incarnation && !d.At.After(u.backAt) {
		return nil
	}
	u.Incarnation = max(u.Incarnation, d.Incarnation)
	if d.Sign == PlatformList {
		u.heldUntil = later(u.heldUntil, d.At.Add(listHold))
	}
	return w.leave(d.At, d.Upstream, d.Sign)
}

// Departures returns the upstreams that are leaving, by name. As long as the
// list has one as leaving, and also while the list cannot be read, that is a
// sign of now.
func (w *Watcher) Departures(now time.Time) []Departure {
	var list []Departure
	for name, u := range w.upstreams {
		if u.State == Leaving && u.listed {
			u.leftAt = later(u.leftAt, now)
		}
		if u.State == Leaving {
			list = append(list, Departure{Upstream: name, Incarnation: u.Incarnation, Sign: u.Sign, At: u.leftAt})
		}
	}
	slices.SortFunc(list, func(a, b Departure) int { return strings.Compare(a.Upstream, b.Upstream) })
	return list
}
