// Package watcher decides which upstreams may get new work. An upstream is
// leaving from the first sign of it, whoever gives it, and is in service again
// only by a newer incarnation or by its own later word. It does no I/O and
// reads no clock.
package watcher

import (
	"slices"
	"strings"
	"time"
)

// State tells whether an upstream may get new work.
type State string

// States of an upstream.
const (
	InService State = "in_service"
	// Leaving gets no new work; what runs ends normally.
	Leaving State = "leaving"
	// Gone has nothing left running.
	Gone State = "gone"
)

// Sign is what told of a state.
type Sign string

// Signs of leaving.
const (
	PlatformList Sign = "platform_list"
	OwnReport    Sign = "own_report"
	Order        Sign = "order"
	Refusals     Sign = "refusals"
)

const (
	// refusalsToLeave is the number of refusals in a row that say "leaving".
	refusalsToLeave = 3
	// goneAfter is how long a leaving upstream may keep ending its work.
	goneAfter = 15 * time.Minute
	// listHold is how long the sign of a list that another controller read
	// holds against the upstream's own reports.
	listHold = 90 * time.Second
)

// Report is an upstream's own word about itself.
type Report struct {
	Upstream    string
	Incarnation uint64
	Leaving     bool
	// At is when the upstream made the report, by the clock of the receiver.
	At time.Time
}

// Change is an upstream whose state changed, for the log and for selection.
type Change struct {
	Upstream string
	Was      State
	Is       State
	Sign     Sign
}

// Upstream is the present knowledge of one upstream.
type Upstream struct {
	State       State
	Incarnation uint64
	// Sign is what took it out of service.
	Sign Sign
	// leftAt is when the last sign of leaving came.
	leftAt time.Time
	goneAt time.Time
	// heldUntil is the time that a report has to be made after.
	heldUntil time.Time
	// backAt is when the report was made that last brought it back.
	backAt   time.Time
	refusals int
	// listed is true while the platform's list has it as leaving.
	listed bool
}

// Watcher keeps the state of every upstream of the bundle. It is used by one
// goroutine at a time.
type Watcher struct {
	upstreams map[string]*Upstream
}

// New returns a Watcher without upstreams.
func New() *Watcher { return &Watcher{upstreams: make(map[string]*Upstream)} }

// SetUpstreams takes the names of a new bundle. Unknown ones start in service.
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

// Serves reports whether the upstream may get new work.
func (w *Watcher) Serves(name string) bool {
	u, ok := w.upstreams[name]
	return ok && u.State == InService
}

// Get returns what is known of an upstream.
func (w *Watcher) Get(name string) (Upstream, bool) {
	u, ok := w.upstreams[name]
	if !ok {
		return Upstream{}, false
	}
	return *u, true
}

// HandleReport takes in an upstream's own report. Reports of older
// incarnations and those made before the last sign of leaving are void. An
// upstream that knows nothing of the platform's plan goes on reporting, so
// that a report of the same incarnation counts for nothing while it is listed.
func (w *Watcher) HandleReport(now time.Time, r Report) []Change {
	u, ok := w.upstreams[r.Upstream]
	if !ok || r.Incarnation < u.Incarnation {
		return nil
	}
	fresh := r.Incarnation > u.Incarnation
	known := u.Incarnation != 0
	u.Incarnation = r.Incarnation
	if r.Leaving {
		return w.leave(later(now, r.At), r.Upstream, OwnReport)
	}
	if u.State == InService {
		u.refusals = 0
		return nil
	}
	if fresh && known || !u.listed && r.At.After(later(u.leftAt, u.heldUntil)) {
		return w.restore(r.Upstream, r.At)
	}
	return nil
}

// HandleOrder takes an upstream out of service by an operator's or a placer's order.
func (w *Watcher) HandleOrder(now time.Time, name string) []Change {
	return w.leave(now, name, Order)
}

// HandleRefusal counts a refusal by the upstream itself to take new work.
func (w *Watcher) HandleRefusal(now time.Time, name string) []Change {
	u, ok := w.upstreams[name]
	if !ok {
		return nil
	}
	u.refusals++
	if u.refusals < refusalsToLeave {
		return nil
	}
	return w.leave(now, name, Refusals)
}

// HandleLeavingRefusal takes in a refusal that says why: the upstream leaves.
func (w *Watcher) HandleLeavingRefusal(now time.Time, name string) []Change {
	return w.leave(now, name, Refusals)
}

// HandleAccepted notes that the upstream took new work.
func (w *Watcher) HandleAccepted(name string) {
	if u, ok := w.upstreams[name]; ok {
		u.refusals = 0
	}
}

// HandlePlatformList takes the names that the platform's list has as leaving.
// The list lags, so that only a name that is new to it is a sign, and a name
// that is not on it tells nothing.
func (w *Watcher) HandlePlatformList(now time.Time, leaving []string) []Change {
	var changes []Change
	for _, name := range slices.Sorted(w.names()) {
		u := w.upstreams[name]
		was := u.listed
		u.listed = slices.Contains(leaving, name)
		if u.listed && !was {
			changes = append(changes, w.leave(now, name, PlatformList)...)
		}
	}
	return changes
}

// Tick ends the time of upstreams that have been leaving for long.
func (w *Watcher) Tick(now time.Time) []Change {
	var changes []Change
	for name, u := range w.upstreams {
		if u.State == Leaving && !now.Before(u.goneAt) {
			u.State = Gone
			changes = append(changes, Change{Upstream: name, Was: Leaving, Is: Gone, Sign: u.Sign})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Upstream, b.Upstream) })
	return changes
}
