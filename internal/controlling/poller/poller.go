// Package poller polls the engines that a controller reads for their reports.
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
	// pollTimeout is the timeout of one round.
	pollTimeout = 2 * time.Second
)

// Config configures a Poller.
type Config struct {
	Observer *observer.Observer
	// OnReports is called with the reports of a round if there are any.
	OnReports func([]observer.Report)
	Log       *logrus.Entry
}

// Poller polls a set of engines in rounds. It is safe for concurrent use.
type Poller struct {
	cfg Config

	mu sync.Mutex
	// engines holds the engines to poll by upstream name.
	engines map[string]checker.Upstream
}

// New returns a Poller without engines.
func New(cfg Config) *Poller {
	return &Poller{cfg: cfg, engines: make(map[string]checker.Upstream)}
}

// Add adds u to the polled engines until ctx is cancelled. An engine of the same name
// is replaced. The cancellation does not remove an engine that was added later under
// the same name with another address.
func (p *Poller) Add(ctx context.Context, u checker.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines[u.Name] = u
	context.AfterFunc(ctx, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.engines[u.Name].Address == u.Address {
			delete(p.engines, u.Name)
		}
	})
}

// Run polls the engines until ctx is cancelled.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if reports := p.pollAll(ctx); len(reports) > 0 {
			p.cfg.OnReports(reports)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// snapshot returns the engines to poll.
func (p *Poller) snapshot() []checker.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.engines))
}

// pollAll fetches the reports of all engines concurrently. Engines whose report cannot
// be fetched within pollTimeout are left out.
func (p *Poller) pollAll(ctx context.Context) []observer.Report {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	engines := p.snapshot()
	results := make(chan observer.Report, len(engines))
	var wg sync.WaitGroup
	for _, u := range engines {
		wg.Go(func() {
			report, err := p.cfg.Observer.Fetch(ctx, u.Address)
			if err != nil {
				p.cfg.Log.WithError(err).WithField("upstream", u.Name).Debug("failed to fetch report of engine")
				return
			}
			report.Upstream = u.Name
			results <- report
		})
	}
	wg.Wait()
	close(results)
	var reports []observer.Report
	for report := range results {
		reports = append(reports, report)
	}
	return reports
}
