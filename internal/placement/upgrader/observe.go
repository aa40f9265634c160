package upgrader

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/membership/registrar"
)

// observation is the last known state of an engine.
type observation struct {
	report Report
	// reportedAt is when the report was received, or zero if there is none.
	reportedAt time.Time
	// requestedAt is when a report was last requested. requesting is true while
	// that request is in progress.
	requestedAt time.Time
	requesting  bool
	// expectedOrders is the number of accepted orders that the latest order
	// requires. pending is true until a report shows a higher number, or until a
	// report from after lostAfter shows that the order had no effect.
	expectedOrders uint64
	pending        bool
	lostAfter      time.Time
}

// requestReports requests the reports of engines that have a pending order,
// carry out an order or have outdated weights.
func (g *Upgrader) requestReports(ctx context.Context, now time.Time, engines []*registrar.Upstream, wanted map[string]informer.Weights) {
	for _, u := range engines {
		o := g.observationOf(u)
		needed := o.pending || o.report.Busy || outdated(g.weights(u), wanted) ||
			// A delayed order may have restored older weights.
			outdated(u.Weights, wanted) && now.After(o.reportedAt.Add(maxEntryLag))
		if !needed || o.requesting || now.Before(o.requestedAt.Add(reportInterval)) {
			continue
		}
		o.requesting, o.requestedAt = true, now
		go g.fetchReport(ctx, u, o)
	}
}

// outdated reports whether a model has older weights than the wanted ones.
func outdated(have map[string]uint64, wanted map[string]informer.Weights) bool {
	for model, version := range have {
		if w, ok := wanted[model]; ok && w.Version > version {
			return true
		}
	}
	return false
}

// observationOf returns the observation of u and creates it if there is none.
func (g *Upgrader) observationOf(u *registrar.Upstream) *observation {
	o, ok := g.observations[u.ID]
	if !ok {
		o = &observation{}
		g.observations[u.ID] = o
	}
	return o
}

// fetchReport requests a report of u and records it in o.
func (g *Upgrader) fetchReport(ctx context.Context, u *registrar.Upstream, o *observation) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := g.cfg.Engines.Report(ctx, u)
	g.mu.Lock()
	defer g.mu.Unlock()
	o.requesting = false
	if err != nil {
		g.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "report_failed", "upstream": u.ID}).Debug("failed to request report of engine")
		return
	}
	o.report, o.reportedAt = report, time.Now()
	if report.AcceptedOrders > o.expectedOrders || o.reportedAt.Add(-maxReportAge).After(o.lostAfter) {
		o.pending = false
	}
	g.cfg.OnChange(u, o.pending || report.Busy, g.weights(u))
}

// weights returns the newest known versions of an engine's weights. Versions
// never decrease between restarts of an engine, so that the higher one of its
// store entry and its report is the current one.
func (g *Upgrader) weights(u *registrar.Upstream) map[string]uint64 {
	o := g.observations[u.ID]
	if o == nil || o.reportedAt.IsZero() || !o.report.StartedAt.Equal(u.StartedAt) {
		return u.Weights
	}
	newest := make(map[string]uint64, len(u.Weights))
	for model, version := range u.Weights {
		newest[model] = max(version, o.report.Weights[model])
	}
	return newest
}
