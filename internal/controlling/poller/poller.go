// Package poller collects the reports of the engines that a controller reads.
package poller

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

const (
	pollInterval = 500 * time.Millisecond
	pollTimeout  = 2 * time.Second
)

// Config holds what a Poller is built from.
type Config struct {
	Observer *observer.Observer
	// OnReports takes the reports of one round.
	OnReports func([]observer.Report)
	Log       *logrus.Entry
}

// Poller asks a set of engines for their reports, round after round.
type Poller struct {
	cfg Config

	mu  sync.Mutex
	set map[string]checker.Upstream
}

// New returns a Poller of no engine.
func New(cfg Config) *Poller {
	return &Poller{cfg: cfg, set: make(map[string]checker.Upstream)}
}

// Add polls u until ctx ends.
func (p *Poller) Add(ctx context.Context, u checker.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.set[u.Name] = u
	context.AfterFunc(ctx, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.set[u.Name].Address == u.Address {
			delete(p.set, u.Name)
		}
	})
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if reports := p.round(ctx); len(reports) > 0 {
			p.cfg.OnReports(reports)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *Poller) upstreams() []checker.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.set))
}

// round asks every engine at once; one that does not answer in time is left out.
func (p *Poller) round(ctx context.Context) []observer.Report {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	upstreams := p.upstreams()
	answers := make(chan observer.Report, len(upstreams))
	var wg sync.WaitGroup
	for _, u := range upstreams {
		wg.Go(func() {
			report, err := p.cfg.Observer.Fetch(ctx, u.Address)
			if err != nil {
				p.cfg.Log.WithError(err).WithField("upstream", u.Name).Debug("no report")
				return
			}
			report.Upstream = u.Name
			answers <- report
		})
	}
	wg.Wait()
	close(answers)
	var reports []observer.Report
	for report := range answers {
		reports = append(reports, report)
	}
	return reports
}
