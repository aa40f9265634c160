package upgrader

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/membership/registrar"
)

// observation is what is known of an engine.
type observation struct {
	report Report
	// reportedAt is zero until the engine has reported to this VM.
	reportedAt time.Time
	// askedAt is when it was last asked; asking is true until the answer.
	askedAt time.Time
	asking  bool
	// ordered is the number of accepted orders that the latest order requires,
	// pending is true until the report shows a higher one, or shows that nothing
	// has come of the order after lostAfter.
	ordered   uint64
	pending   bool
	lostAfter time.Time
}

// ask requests reports of the engines that have work to do.
func (g *Upgrader) ask(ctx context.Context, now time.Time, engines []*registrar.Upstream, wanted map[string]informer.Weights) {
	for _, u := range engines {
		o := g.observe(u)
		due := o.pending || o.report.Busy || outdated(g.weights(u), wanted) ||
			// An order that came late may have brought older weights back.
			outdated(u.Weights, wanted) && now.After(o.reportedAt.Add(entryLag))
		if !due || o.asking || now.Before(o.askedAt.Add(reportEvery)) {
			continue
		}
		o.asking, o.askedAt = true, now
		go g.runReport(ctx, u, o)
	}
}

// outdated reports whether a model has other weights than the wanted ones.
func outdated(have map[string]uint64, wanted map[string]informer.Weights) bool {
	for model, version := range have {
		if w, ok := wanted[model]; ok && w.Version > version {
			return true
		}
	}
	return false
}

func (g *Upgrader) observe(u *registrar.Upstream) *observation {
	o, ok := g.seen[u.ID]
	if !ok {
		o = &observation{}
		g.seen[u.ID] = o
	}
	return o
}

func (g *Upgrader) runReport(ctx context.Context, u *registrar.Upstream, o *observation) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := g.cfg.Engines.Report(ctx, u.Address)
	g.mu.Lock()
	defer g.mu.Unlock()
	o.asking = false
	if err != nil {
		g.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "report_failed", "upstream": u.ID}).Debug("engine did not report")
		return
	}
	o.report, o.reportedAt = report, time.Now()
	if report.Orders > o.ordered || o.reportedAt.Add(-reportLag).After(o.lostAfter) {
		o.pending = false
	}
	g.cfg.OnChange(u, o.pending || report.Busy, g.weights(u))
}

// weights returns the newest versions known of an engine: weights never go
// back within one run.
func (g *Upgrader) weights(u *registrar.Upstream) map[string]uint64 {
	o := g.seen[u.ID]
	if o == nil || o.reportedAt.IsZero() || !o.report.StartedAt.Equal(u.StartedAt) {
		return u.Weights
	}
	newest := make(map[string]uint64, len(u.Weights))
	for model, version := range u.Weights {
		newest[model] = max(version, o.report.Weights[model])
	}
	return newest
}
