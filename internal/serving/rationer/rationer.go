// Package rationer enforces a router's share of the request rate limits of
// organisations, and exchanges usage reports with the controller to adjust it.
package rationer

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/routing/limiter"
)

const (
	// reportInterval is the time between two usage reports to the controller.
	reportInterval = time.Second
	// minReportedRate is the lowest reported request rate, in requests per second.
	minReportedRate = 0.01
)

// Config holds the parameters of a Rationer.
type Config struct {
	// Node is the name of this router.
	Node string
	// Routers is the number of routers in the settings. It is used until the
	// controller sends the router counts, and is the minimum of the listed count,
	// because a controller that has just started does not know the other routers.
	Routers int
	// Send sends a message to the controller. Messages may be lost.
	Send func(messenger.Message) bool
	Log  *logrus.Entry
}

// Rationer enforces and reports the usage of one router. It is safe for concurrent
// use.
type Rationer struct {
	cfg Config

	mu     sync.Mutex
	limits *limiter.Limiter
}

// New returns a Rationer without limits.
func New(cfg Config) *Rationer {
	r := &Rationer{cfg: cfg, limits: limiter.New()}
	r.limits.SetRouterCounts(cfg.Routers, cfg.Routers)
	return r
}

// SetBundle applies the request rate limits of a bundle.
func (r *Rationer) SetBundle(b *checker.Bundle) {
	limits := make(map[string]float64)
	for _, o := range b.Organisations {
		if o.RequestsPerSecond > 0 {
			limits[o.Name] = o.RequestsPerSecond
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits.SetLimits(limits)
}

// Allow counts a request of an organisation. It returns a rate limit error with the
// time to retry if the router's share of the organisation's limit is used up.
func (r *Rationer) Allow(organisation string) error {
	now := time.Now()
	r.mu.Lock()
	d := r.limits.Allow(now, organisation)
	r.mu.Unlock()
	if d.Allowed {
		return nil
	}
	r.cfg.Log.WithFields(logrus.Fields{
		"event":        "rate_limit",
		"organisation": organisation,
		"retry_at":     d.RetryAt,
	}).Info("request refused")
	err := classifier.New(classifier.RateLimited, "organisation %s is over its requests a second", organisation)
	err.RetryAt = d.RetryAt
	return err
}

// ObserveUsage records the usage of the other routers and the number of routers.
func (r *Rationer) ObserveUsage(sums messenger.UsageTotals) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range sums.Totals {
		r.limits.ObserveUsage(now, u)
	}
	if sums.LiveRouters > 0 {
		r.limits.SetRouterCounts(sums.LiveRouters, max(sums.ListedRouters, r.cfg.Routers))
	}
}

// Run reports the usage of this router to the controller until ctx is done.
func (r *Rationer) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			r.cfg.Send(messenger.Message{UsageReport: &messenger.UsageReport{Usages: r.ownUsage(now)}})
		case <-ctx.Done():
			return
		}
	}
}

// ownUsage returns the usage of this router by organisation, without rates below
// minReportedRate.
func (r *Rationer) ownUsage(now time.Time) []limiter.Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []limiter.Usage
	for _, u := range r.limits.OwnUsage(now, r.cfg.Node) {
		if u.Rate >= minReportedRate {
			list = append(list, u)
		}
	}
	return list
}
