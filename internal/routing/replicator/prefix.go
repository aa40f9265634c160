package replicator

import (
	"math"
	"time"
)

// prefix is what is known of the requests for one prefix.
type prefix struct {
	// weight is the number of requests, each halved with every half-life.
	weight   float64
	seenAt   time.Time
	replicas int
	// hot is true while one upstream cannot serve all of its requests.
	hot bool
	// fallAt is the deadline before which the number of replicas does not fall.
	fallAt time.Time
}

// observe counts one request.
func (p *prefix) observe(now time.Time, halfLife time.Duration) {
	age := max(now.Sub(p.seenAt), 0)
	p.weight = p.weight*math.Exp2(-float64(age)/float64(halfLife)) + 1
	p.seenAt = now
}

// coolShare is the share of the limit below which a hot prefix is whole again.
const coolShare = 0.5

// split makes the prefix hot above limit, and whole again well below it.
func (p *prefix) split(limit float64) {
	switch {
	case p.weight > limit:
		p.hot = true
	case p.weight < coolShare*limit:
		p.hot = false
	}
}

const (
	// fallShare is the share of the capacity of one replica less below which
	// the rate must be before a replica is given up.
	fallShare = 0.75
)

// replicate moves the number of replicas by the load, counted in what one
// replica carries. It rises at once and falls by one at a time, after the dwell
// time and only when the load is well below what the smaller number carries.
func (p *prefix) replicate(now time.Time, load float64, cfg *Config) {
	want := int(math.Ceil(load))
	want = min(max(want, 1), cfg.MaxReplicas)
	if want > p.replicas {
		p.replicas = want
		p.fallAt = now.Add(cfg.MinDwell)
		return
	}
	low := load < fallShare*float64(p.replicas-1)
	if !low {
		p.fallAt = now.Add(cfg.MinDwell)
		return
	}
	if now.Before(p.fallAt) {
		return
	}
	p.replicas--
	p.fallAt = now.Add(cfg.MinDwell)
}
