package dispatcher

import (
	"sync"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/routing/selector"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// beliefs holds the last report of each engine.
type beliefs struct {
	mu      sync.Mutex
	reports map[string]observer.Report
}

func newBeliefs() *beliefs {
	return &beliefs{reports: make(map[string]observer.Report)}
}

func (b *beliefs) observe(reports []observer.Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, report := range reports {
		b.reports[report.Upstream] = report
	}
}

// candidates returns the engines of the bundle that may serve the model. An
// engine without a report counts as ready, so that a router that has heard of
// nothing yet serves all the same.
func (b *beliefs) candidates(bundle *checker.Bundle, model checker.Model, excluded map[string]bool) []selector.Candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []selector.Candidate
	for _, u := range bundle.Upstreams {
		if u.Kind != checker.Engine || excluded[u.Name] {
			continue
		}
		report, known := b.reports[u.Name]
		if known && (report.Leaving || !report.Serves(model.Name, model.WeightsVersion)) {
			continue
		}
		list = append(list, selector.Candidate{
			Name:             u.Name,
			Region:           u.Region,
			AvailabilityZone: u.AvailabilityZone,
			Slots:            u.Slots,
			Incarnation:      report.Incarnation,
			Queued:           float64(report.Queued),
			Running:          float64(report.Running),
			QueuedBlocks:     float64(report.QueuedBlocks),
			ReportedAt:       report.At,
			PrefillPerBlock:  time.Millisecond,
		})
	}
	return list
}
