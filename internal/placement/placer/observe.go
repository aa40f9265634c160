package placer

import (
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/placement/planner"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// receivedReport is a report and the time at which it was received.
type receivedReport struct {
	report     observer.Report
	receivedAt time.Time
}

// RecordReports records the latest reports of upstreams. A report that is older
// than the recorded one of the same incarnation is dropped.
func (p *Placer) RecordReports(reports []observer.Report) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.reports) > maxReports {
		clear(p.reports)
	}
	for _, r := range reports {
		if last := p.reports[r.Upstream].report; last.Incarnation == r.Incarnation && r.At.Before(last.At) {
			continue // delivered out of order
		}
		p.reports[r.Upstream] = receivedReport{report: r, receivedAt: now}
	}
}

// engines returns the region's engines as last reported. Engines without a
// report are left out.
func (p *Placer) engines(b *checker.Bundle) []planner.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	var engines []planner.Engine
	for _, u := range b.Upstreams {
		received, known := p.reports[u.Name]
		if u.Kind != checker.Engine || u.Region != p.cfg.Region || !known {
			continue
		}
		engines = append(engines, planner.Engine{
			Upstream:    u.Name,
			Incarnation: received.report.Incarnation,
			Allowed:     u.Models,
			Ready:       modelVersions(received.report.Models),
			Loading:     modelVersions(received.report.Loading),
			Leaving:     received.report.Leaving,
			Load:        received.report.Running + received.report.Queued,
			SeenAt:      received.receivedAt,
		})
	}
	return engines
}

func modelVersions(models []observer.LoadedModel) []planner.ModelVersion {
	versions := make([]planner.ModelVersion, 0, len(models))
	for _, m := range models {
		versions = append(versions, planner.ModelVersion{Model: m.Name, WeightsVersion: m.WeightsVersion})
	}
	return versions
}
