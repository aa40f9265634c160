package replicator

import (
	"math"
	"time"
)

// prefix holds the request statistics of one prefix.
type prefix struct {
	// weight is the number of requests with exponential decay.
	weight    float64
	updatedAt time.Time
	replicas  int
	// hot is true while the requests are too many for one upstream.
	hot bool
	// removableAt is the earliest time at which a replica may be removed.
	removableAt time.Time
}

// countRequest decays the weight to now and adds one request.
func (p *prefix) countRequest(now time.Time, halfLife time.Duration) {
	age := max(now.Sub(p.updatedAt), 0)
	p.weight = p.weight*math.Exp2(-float64(age)/float64(halfLife)) + 1
	p.updatedAt = now
}

// coolShare is the share of the limit below which a prefix stops being hot.
const coolShare = 0.5

// updateHot marks the prefix as hot above limit and clears the mark below coolShare
// of it. The hysteresis keeps the home from alternating at the limit.
func (p *prefix) updateHot(limit float64) {
	switch {
	case p.weight > limit:
		p.hot = true
	case p.weight < coolShare*limit:
		p.hot = false
	}
}

const (
	// removeShare is the share of the capacity of the remaining replicas below
	// which the load must be before a replica is removed.
	removeShare = 0.75
)

// updateReplicas adjusts the number of replicas to the load, given in multiples of
// the capacity of one replica. Replicas are added immediately. They are removed one
// at a time, after the load has stayed well below the capacity of the remaining
// replicas for the dwell time.
func (p *prefix) updateReplicas(now time.Time, load float64, cfg *Config) {
	want := int(math.Ceil(load))
	want = min(max(want, 1), cfg.MaxReplicas)
	if want > p.replicas {
		p.replicas = want
		p.removableAt = now.Add(cfg.MinDwell)
		return
	}
	low := load < removeShare*float64(p.replicas-1)
	if !low {
		p.removableAt = now.Add(cfg.MinDwell)
		return
	}
	if now.Before(p.removableAt) {
		return
	}
	p.replicas--
	p.removableAt = now.Add(cfg.MinDwell)
}
