// Package withdrawer combines the signals that a process receives about leaving
// upstreams, excludes these upstreams from new requests and publishes departures
// to other processes.
package withdrawer

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/watcher"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// Config holds the dependencies of a Withdrawer.
type Config struct {
	// OnDepartures is called with upstreams that a signal received by this process
	// itself took out of service. It is called with a lock held: it must not block
	// and must not call the Withdrawer.
	OnDepartures func([]watcher.Departure)
	Log          *logrus.Entry
}

// Withdrawer wraps a watcher.Watcher and is safe for concurrent use.
type Withdrawer struct {
	cfg Config

	mu    sync.Mutex
	watch *watcher.Watcher
}

// New returns a Withdrawer without upstreams.
func New(cfg Config) *Withdrawer {
	return &Withdrawer{cfg: cfg, watch: watcher.New()}
}

// SetUpstreams sets the upstreams to those of a new bundle.
func (w *Withdrawer) SetUpstreams(names []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watch.SetUpstreams(names)
}

// AcceptsRequests reports whether an upstream may get new requests. One that is
// not known yet may.
func (w *Withdrawer) AcceptsRequests(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	u, known := w.watch.Get(name)
	return !known || u.State == watcher.InService
}

// HandleReports applies reports that upstreams made of themselves. It publishes
// no departures because reports reach every process.
func (w *Withdrawer) HandleReports(now time.Time, reports []observer.Report) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range reports {
		w.logChanges(w.watch.HandleReport(now, watcher.Report{
			Upstream:    r.Upstream,
			Incarnation: r.Incarnation,
			Leaving:     r.Leaving,
			At:          r.At,
		}))
	}
}

// HandlePlatformList applies the names of the upstreams that the platform's list
// shows as leaving.
func (w *Withdrawer) HandlePlatformList(now time.Time, leaving []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.publish(now, w.watch.HandlePlatformList(now, leaving))
}

// HandleOrder takes an upstream out of service by order of an operator or a placer.
func (w *Withdrawer) HandleOrder(now time.Time, name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.publish(now, w.watch.HandleOrder(now, name))
}

// HandleLeavingRefusal handles a request that an upstream refused because it is
// leaving.
func (w *Withdrawer) HandleLeavingRefusal(now time.Time, name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.publish(now, w.watch.HandleLeavingRefusal(now, name))
}

// ApplyDepartures applies departures received from another process and returns
// those that changed the state of their upstream.
func (w *Withdrawer) ApplyDepartures(departures []watcher.Departure) []watcher.Departure {
	w.mu.Lock()
	defer w.mu.Unlock()
	var applied []watcher.Departure
	for _, d := range departures {
		if changes := w.watch.HandleDeparture(d); len(changes) > 0 {
			w.logChanges(changes)
			applied = append(applied, d)
		}
	}
	return applied
}

// Departures returns a departure for each leaving upstream, sorted by name.
func (w *Withdrawer) Departures(now time.Time) []watcher.Departure {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.watch.Departures(now)
}

// Tick marks the leaving upstreams whose drain timeout has passed as gone.
func (w *Withdrawer) Tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logChanges(w.watch.Tick(now))
}

// publish logs changes and calls OnDepartures for those upstreams that are
// leaving. The caller holds the mutex.
func (w *Withdrawer) publish(now time.Time, changes []watcher.Change) {
	if len(changes) == 0 {
		return
	}
	w.logChanges(changes)
	var departures []watcher.Departure
	for _, d := range w.watch.Departures(now) {
		for _, c := range changes {
			if c.Upstream == d.Upstream {
				departures = append(departures, d)
			}
		}
	}
	if w.cfg.OnDepartures != nil {
		w.cfg.OnDepartures(departures)
	}
}

func (w *Withdrawer) logChanges(changes []watcher.Change) {
	for _, c := range changes {
		w.cfg.Log.WithFields(logrus.Fields{
			"event":    "upstream_state",
			"upstream": c.Upstream,
			"was":      c.OldState,
			"state":    c.NewState,
			"sign":     c.Signal,
		}).Info("upstream state changed")
	}
}
