package placer

import (
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/placement/planner"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// seen is a report with the time at which it arrived.
type seen struct {
	report observer.Report
	at     time.Time
}

// Reports tells of what upstreams reported.
func (p *Placer) Reports(reports []observer.Report) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.reports) > reportLimit {
		clear(p.reports)
	}
	for _, r := range reports {
		if last := p.reports[r.Upstream].report; last.Incarnation == r.Incarnation && r.At.Before(last.At) {
			continue // a report that took a longer way
		}
		p.reports[r.Upstream] = seen{report: r, at: now}
	}
}

// engines returns the region's engines as they were last observed. One that
// was never heard of is left out.
func (p *Placer) engines(b *checker.Bundle) []planner.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	var engines []planner.Engine
	for _, u := range b.Upstreams {
		s, known := p.reports[u.Name]
		if u.Kind != checker.Engine || u.Region != p.cfg.Region || !known {
			continue
		}
		engines = append(engines, planner.Engine{
			Upstream:    u.Name,
			Incarnation: s.report.Incarnation,
			Allowed:     u.Models,
			Ready:       loaded(s.report.Models),
			Loading:     loaded(s.report.Loading),
			Leaving:     s.report.Leaving,
			Load:        s.report.Running + s.report.Queued,
			SeenAt:      s.at,
		})
	}
	return engines
}

func loaded(models []observer.LoadedModel) []planner.Loaded {
	list := make([]planner.Loaded, 0, len(models))
	for _, m := range models {
		list = append(list, planner.Loaded{Model: m.Name, WeightsVersion: m.WeightsVersion})
	}
	return list
}
