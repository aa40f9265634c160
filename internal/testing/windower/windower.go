// Package windower counts the requests that reach an upstream in a sliding window, and
// compares them with the limit that the upstream states, by the rule of the users.
package windower

import "time"

const (
	// Settling is the time after the first response with a limit from which on it must be
	// kept.
	Settling = 3 * time.Second
	// CountsAfter is the time after a VM has passed on its first response with the limit
	// from which on its requests count.
	CountsAfter = 500 * time.Millisecond
	// Length is the length of a window.
	Length = 4 * time.Second
	// factor and extra are what a limit allows in each window: factor times the limit, and
	// extra requests.
	factor = 1.5
	extra  = 5.0
)

// Allowed returns the number of requests that a limit in requests a second allows in a
// window.
func Allowed(perSecond float64) float64 { return factor*perSecond*Length.Seconds() + extra }

// Window holds the requests of the latest window. The zero value is empty.
type Window struct{ arrivals []time.Time }

// Add adds a request, no earlier than those before, and returns the number of requests in
// the window that ends with it.
func (w *Window) Add(at time.Time) int {
	for len(w.arrivals) > 0 && !at.Before(w.arrivals[0].Add(Length)) {
		w.arrivals = w.arrivals[1:]
	}
	w.arrivals = append(w.arrivals, at)
	return len(w.arrivals)
}

// Start returns the time of the first request in the window.
func (w *Window) Start() time.Time { return w.arrivals[0] }
