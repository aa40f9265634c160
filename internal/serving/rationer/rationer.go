// Package rationer keeps a router to its part of the limits of organisations.
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
	// tellInterval is the time between two messages of this router's use.
	tellInterval = time.Second
	// leastRate is the smallest use that is told, in requests a second.
	leastRate = 0.01
)

// Config holds what a Rationer is built from.
type Config struct {
	// Node is the name of this router.
	Node string
	// Routers is the number of routers that the settings name. It holds until
	// the controller tells another, and bounds from below how many are listed:
	// a controller that has just started knows of no other.
	Routers int
	// Send sends a message to the controller; it may be lost.
	Send func(messenger.Message) bool
	Log  *logrus.Entry
}

// Rationer keeps a limiter for use by many goroutines.
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

// Bundle puts the limits of a bundle in force.
func (r *Rationer) Bundle(b *checker.Bundle) {
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

// Allow refuses a request that is over the organisation's limit.
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

// Sums takes in what the other routers use and how many there are.
func (r *Rationer) Sums(sums messenger.UseSums) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range sums.Sums {
		r.limits.ObserveUsage(now, u)
	}
	if sums.Live > 0 {
		r.limits.SetRouterCounts(sums.Live, max(sums.Listed, r.cfg.Routers))
	}
}

// Run tells the controller of this router's use until ctx ends.
func (r *Rationer) Run(ctx context.Context) {
	ticker := time.NewTicker(tellInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			r.cfg.Send(messenger.Message{Uses: &messenger.Uses{Uses: r.uses(now)}})
		case <-ctx.Done():
			return
		}
	}
}

func (r *Rationer) uses(now time.Time) []limiter.Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	var uses []limiter.Usage
	for _, u := range r.limits.OwnUsage(now, r.cfg.Node) {
		if u.Rate >= leastRate {
			uses = append(uses, u)
		}
	}
	return uses
}
