// Package withdrawer joins what a process hears of leaving upstreams, says
// which ones get no new work and passes on what others should know.
package withdrawer

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/watcher"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// Config holds what a Withdrawer is built from.
type Config struct {
	// OnDepartures is told of upstreams that left by a sign that came to this
	// process first. It must not block and must not call back.
	OnDepartures func([]watcher.Departure)
	Log          *logrus.Entry
}

// Withdrawer keeps a watcher for use by many goroutines.
type Withdrawer struct {
	cfg Config

	mu    sync.Mutex
	watch *watcher.Watcher
}

// New returns a Withdrawer without upstreams.
func New(cfg Config) *Withdrawer {
	return &Withdrawer{cfg: cfg, watch: watcher.New()}
}

// SetUpstreams takes the names of a new bundle.
func (w *Withdrawer) SetUpstreams(names []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watch.SetUpstreams(names)
}

// Serves reports whether an upstream may get new work. One that is not known
// yet may.
func (w *Withdrawer) Serves(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	u, known := w.watch.Get(name)
	return !known || u.State == watcher.InService
}

// Reports takes in what upstreams said of themselves. Reports reach every
// process, so that nothing is passed on.
func (w *Withdrawer) Reports(now time.Time, reports []observer.Report) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range reports {
		w.log(w.watch.HandleReport(now, watcher.Report{
			Upstream:    r.Upstream,
			Incarnation: r.Incarnation,
			Leaving:     r.Leaving,
			At:          r.At,
		}))
	}
}

// List takes in the upstreams that the platform's list has as leaving.
func (w *Withdrawer) List(now time.Time, leaving []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spread(now, w.watch.HandlePlatformList(now, leaving))
}

// Order takes an upstream out by an order.
func (w *Withdrawer) Order(now time.Time, name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spread(now, w.watch.HandleOrder(now, name))
}

// Refused takes in a refusal of an upstream that says that it is leaving.
func (w *Withdrawer) Refused(now time.Time, name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spread(now, w.watch.HandleLeavingRefusal(now, name))
}

// Learn takes in departures that another process passed on and returns those
// that were news.
func (w *Withdrawer) Learn(departures []watcher.Departure) []watcher.Departure {
	w.mu.Lock()
	defer w.mu.Unlock()
	var news []watcher.Departure
	for _, d := range departures {
		if changes := w.watch.HandleDeparture(d); len(changes) > 0 {
			w.log(changes)
			news = append(news, d)
		}
	}
	return news
}

// Departures returns the upstreams that are leaving.
func (w *Withdrawer) Departures(now time.Time) []watcher.Departure {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.watch.Departures(now)
}

// Tick ends the time of upstreams that have been leaving for long.
func (w *Withdrawer) Tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log(w.watch.Tick(now))
}

// spread passes changes on. The caller holds the mutex.
func (w *Withdrawer) spread(now time.Time, changes []watcher.Change) {
	if len(changes) == 0 {
		return
	}
	w.log(changes)
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

func (w *Withdrawer) log(changes []watcher.Change) {
	for _, c := range changes {
		w.cfg.Log.WithFields(logrus.Fields{
			"event":    "upstream_state",
			"upstream": c.Upstream,
			"was":      c.Was,
			"state":    c.Is,
			"sign":     c.Sign,
		}).Info("upstream changed")
	}
}
