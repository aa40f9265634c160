package rationer

import (
	"maps"
	"time"

	"gentianstep.example/gentianstep/internal/routing/matcher"
	"gentianstep.example/gentianstep/internal/routing/throttler"
)

// Bounds are the tolerance for quotas.
type Bounds struct {
	Over  float64
	Slack float64
}

// Quotas returns the quotas of a configuration by the name of their organisation.
func Quotas(c *matcher.Configuration, b Bounds) map[string]throttler.Quota {
	quotas := make(map[string]throttler.Quota)
	for _, o := range c.Organisations {
		if o.Quota.Limited() {
			quotas[o.Name] = throttler.NewQuota(throttler.QuotaConfig{
				PerSecond: o.Quota.PerSecond,
				Burst:     o.Quota.Burst,
				Over:      b.Over,
				Slack:     b.Slack,
			})
		}
	}
	return quotas
}

// update applies the configuration in force. The caller holds r.mu.
func (r *Rationer) update(now time.Time) {
	c := r.cfg.Configuration()
	if c == r.current || c == nil {
		return
	}
	r.current = c
	quotas := Quotas(c, r.bounds)
	r.credits.SetQuotas(now, quotas)
	maps.DeleteFunc(r.returns, func(name string, _ *throttler.Returns) bool {
		_, ok := quotas[name]
		return !ok
	})
	// Those with waiting requests stay until the next configuration; the requests find that
	// there is no quota.
	maps.DeleteFunc(r.queues, func(name string, q *queue) bool {
		_, ok := quotas[name]
		return !ok && len(q.waiters) == 0
	})
}

// SetBounds replaces the tolerance.
func (r *Rationer) SetBounds(b Bounds) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b != r.bounds {
		r.bounds, r.current = b, nil
	}
}

// SetFleet sets the VMs that share the quotas.
func (r *Rationer) SetFleet(f throttler.Fleet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.credits.SetFleet(time.Now(), f)
}

// QuotaReports implements coordinator.Quotas.
func (r *Rationer) QuotaReports() (list []throttler.QuotaReport, alone bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.update(now)
	return r.credits.Reports(now), r.credits.Alone(now)
}

// EndHub implements coordinator.Quotas.
func (r *Rationer) EndHub() {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.credits.EndHub(now)
	for name := range r.queues {
		r.dispatch(now, name)
	}
}

// ApplyQuotas implements coordinator.Quotas.
func (r *Rationer) ApplyQuotas(states []throttler.QuotaState, grants []throttler.QuotaGrant, reportedAt time.Time) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.update(now)
	r.credits.ConfirmHub(now, reportedAt)
	for _, s := range states {
		r.credits.ApplyState(now, s)
	}
	for _, g := range grants {
		r.credits.AddGrant(now, g, reportedAt)
		r.dispatch(now, g.Organisation)
	}
}
