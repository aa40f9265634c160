// Package poller collects the reports of engines.
package poller

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/bundle/holder"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

const (
	pollInterval = 500 * time.Millisecond
	pollTimeout  = 2 * time.Second
)

// Config holds what a Poller is built from.
type Config struct {
	Holder   *holder.Holder
	Observer *observer.Observer
	// OnReports takes the reports of one round.
	OnReports func([]observer.Report)
	Log       *logrus.Entry
}

// Poller asks every engine of the bundle for its report, round after round.
type Poller struct {
	cfg Config
}

// New returns a Poller.
func New(cfg Config) *Poller {
	return &Poller{cfg: cfg}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if current := p.cfg.Holder.Current(); current != nil {
			p.cfg.OnReports(p.round(ctx, current.Bundle))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *Poller) round(ctx context.Context, b *checker.Bundle) []observer.Report {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var (
		mu      sync.Mutex
		wg      sync.WaitGroup
		reports []observer.Report
	)
	for _, u := range b.Upstreams {
		if u.Kind != checker.Engine {
			continue
		}
		wg.Go(func() {
			report, err := p.cfg.Observer.Fetch(ctx, u.Address)
			if err != nil {
				p.cfg.Log.WithError(err).WithField("upstream", u.Name).Debug("no report")
				return
			}
			report.Upstream = u.Name
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, report)
		})
	}
	wg.Wait()
	return reports
}
