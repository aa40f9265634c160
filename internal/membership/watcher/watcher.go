// Package watcher tracks which upstreams may get new requests. Any signal takes
// an upstream out of service at once, whatever its source. Only a report of a
// newer incarnation, or one made after the last signal, returns it to service.
// The package does no I/O and reads no clock.
package watcher

import (
	"slices"
	"strings"
	"time"
)

// State is the service state of an upstream.
type State string

// States of an upstream.
const (
	InService State = "in_service"
	// Leaving is an upstream that drains: it gets no new requests and completes
	// the running ones.
	Leaving State = "leaving"
	// Gone is an upstream whose drain timeout has passed; it is assumed to have no
	// running requests.
	Gone State = "gone"
)

// Signal is the source of a state change.
type Signal string

// Signals that an upstream is leaving.
const (
	PlatformList Signal = "platform_list"
	OwnReport    Signal = "own_report"
	Order        Signal = "order"
	Refusals     Signal = "refusals"
)

const (
	// maxConsecutiveRefusals is the number of consecutive refusals that take an
	// upstream out of service.
	maxConsecutiveRefusals = 3
	// DrainTimeout is how long a leaving upstream may take to complete its running
	// requests before it is considered gone.
	DrainTimeout = 15 * time.Minute
	// listHoldDown is how long a departure received from another controller, with
	// the platform's list as its signal, keeps reports of the same incarnation
	// from restoring the upstream.
	listHoldDown = 90 * time.Second
)

// Report is a status report that an upstream makes of itself.
type Report struct {
	Upstream    string
	Incarnation uint64
	Leaving     bool
	// At is when the upstream made the report, by the clock of the receiver.
	At time.Time
}

// Change is a state transition of an upstream.
type Change struct {
	Upstream string
	OldState State
	NewState State
	Signal   Signal
}

// Upstream is the current state of one upstream.
type Upstream struct {
	State       State
	Incarnation uint64
	// Signal is the signal that took the upstream out of service, or empty.
	Signal Signal
	// lastSignalAt is when the last signal that it is leaving was received.
	lastSignalAt time.Time
	// drainDeadline is when a leaving upstream becomes gone.
	drainDeadline time.Time
	// holdDownUntil is the end of the hold-down: only a report made after it, or
	// one of a newer incarnation, restores the upstream.
	holdDownUntil time.Time
	// restoredAt is the time of the report that last returned it to service.
	restoredAt          time.Time
	consecutiveRefusals int
	// listed is true while the platform's list shows the upstream as leaving.
	listed bool
}

// Watcher holds the state of every upstream of the bundle. It is not safe for
// concurrent use.
type Watcher struct {
	upstreams map[string]*Upstream
}

// New returns a Watcher without upstreams.
func New() *Watcher { return &Watcher{upstreams: make(map[string]*Upstream)} }

// SetUpstreams sets the upstreams to those of a new bundle. New upstreams start
// in service, the others keep their state.
func (w *Watcher) SetUpstreams(names []string) {
	kept := make(map[string]*Upstream, len(names))
	for _, name := range names {
		u, ok := w.upstreams[name]
		if !ok {
			u = &Upstream{State: InService}
		}
		kept[name] = u
	}
	w.upstreams = kept
}

// IsInService reports whether the upstream is known and may get new requests.
func (w *Watcher) IsInService(name string) bool {
	u, ok := w.upstreams[name]
	return ok && u.State == InService
}

// Get returns the state of an upstream and whether it is known.
func (w *Watcher) Get(name string) (Upstream, bool) {
	u, ok := w.upstreams[name]
	if !ok {
		return Upstream{}, false
	}
	return *u, true
}

// HandleReport applies an upstream's report of itself. Reports of older
// incarnations are ignored. Reports of the same incarnation do not restore a
// leaving upstream if they were made before the last signal or during the
// hold-down, nor while the platform's list shows it as leaving: an upstream that
// has not been told of the platform's plan keeps reporting that it is in service.
func (w *Watcher) HandleReport(now time.Time, r Report) []Change {
	u, ok := w.upstreams[r.Upstream]
	if !ok || r.Incarnation < u.Incarnation {
		return nil
	}
	newer := r.Incarnation > u.Incarnation
	known := u.Incarnation != 0
	u.Incarnation = r.Incarnation
	if r.Leaving {
		return w.markLeaving(later(now, r.At), r.Upstream, OwnReport)
	}
	if u.State == InService {
		u.consecutiveRefusals = 0
		return nil
	}
	if newer && known || !u.listed && r.At.After(later(u.lastSignalAt, u.holdDownUntil)) {
		return w.restore(r.Upstream, r.At)
	}
	return nil
}

// HandleOrder takes an upstream out of service by order of an operator or a
// placer.
func (w *Watcher) HandleOrder(now time.Time, name string) []Change {
	return w.markLeaving(now, name, Order)
}

// HandleRefusal counts a request that the upstream refused without giving a
// reason, and takes it out of service after several consecutive ones.
func (w *Watcher) HandleRefusal(now time.Time, name string) []Change {
	u, ok := w.upstreams[name]
	if !ok {
		return nil
	}
	u.consecutiveRefusals++
	if u.consecutiveRefusals < maxConsecutiveRefusals {
		return nil
	}
	return w.markLeaving(now, name, Refusals)
}

// HandleLeavingRefusal handles a request that the upstream refused because it is
// leaving.
func (w *Watcher) HandleLeavingRefusal(now time.Time, name string) []Change {
	return w.markLeaving(now, name, Refusals)
}

// HandleAccepted resets the count of consecutive refusals after the upstream
// accepted a request.
func (w *Watcher) HandleAccepted(name string) {
	if u, ok := w.upstreams[name]; ok {
		u.consecutiveRefusals = 0
	}
}

// HandlePlatformList applies the names of the upstreams that the platform's list
// shows as leaving. The list lags behind, so only a name that was not on the
// previous list is a signal, and a name that is missing does not restore its
// upstream.
func (w *Watcher) HandlePlatformList(now time.Time, leaving []string) []Change {
	var changes []Change
	for _, name := range slices.Sorted(w.names()) {
		u := w.upstreams[name]
		wasListed := u.listed
		u.listed = slices.Contains(leaving, name)
		if u.listed && !wasListed {
			changes = append(changes, w.markLeaving(now, name, PlatformList)...)
		}
	}
	return changes
}

// Tick marks the leaving upstreams whose drain timeout has passed as gone.
func (w *Watcher) Tick(now time.Time) []Change {
	var changes []Change
	for name, u := range w.upstreams {
		if u.State == Leaving && !now.Before(u.drainDeadline) {
			u.State = Gone
			changes = append(changes, Change{Upstream: name, OldState: Leaving, NewState: Gone, Signal: u.Signal})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Upstream, b.Upstream) })
	return changes
}
