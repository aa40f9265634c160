// Package coalescer indexes the prefixes of a router's own recent requests, so that
// simultaneous requests with the same prefix can be sent to the upstream that
// already computes it. The router has this information long before the cache
// events of the upstreams arrive. It does no I/O and reads no clock.
package coalescer

import (
	"time"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
)

const (
	defaultMaxRecords = 1 << 16
	defaultTTL        = time.Second
)

// Config configures a Coalescer. Zero values select the defaults.
type Config struct {
	// MaxRecords bounds the number of indexed checkpoints, and thereby the memory.
	MaxRecords int
	// TTL is how long the checkpoints of a request count as held. They count as
	// unsure for another TTL and expire after that.
	TTL time.Duration
}

// Coalescer indexes the recent requests of one router. It is not safe for
// concurrent use.
type Coalescer struct {
	cfg   Config
	index *indexer.Index
	// nextDemotion is the earliest time of the next demotion.
	nextDemotion time.Time
}

// New returns an empty Coalescer.
func New(cfg Config) *Coalescer {
	if cfg.MaxRecords <= 0 {
		cfg.MaxRecords = defaultMaxRecords
	}
	if cfg.TTL <= 0 {
		cfg.TTL = defaultTTL
	}
	return &Coalescer{
		cfg: cfg,
		index: indexer.New(indexer.Config{
			MaxRecords: cfg.MaxRecords,
			UnsureTTL:  cfg.TTL,
		}),
	}
}

// RecordRequest records that a request with these checkpoints was sent to an
// incarnation of an upstream, which holds them or is about to compute them.
func (c *Coalescer) RecordRequest(now time.Time, upstream, model string, incarnation uint64, checkpoints []hasher.Hash) {
	c.demoteExpired(now)
	c.index.Confirm(upstream, model, incarnation, checkpoints)
}

// RecordFailure removes the records of an upstream after a request to it failed,
// since it may not have computed the checkpoints.
func (c *Coalescer) RecordFailure(upstream string) { c.index.RemoveUpstream(upstream) }

// Lookup appends to buf the upstreams that hold or compute leading checkpoints of a
// chain according to the router's own requests.
func (c *Coalescer) Lookup(now time.Time, checkpoints []hasher.Hash, buf []indexer.Holding) []indexer.Holding {
	c.demoteExpired(now)
	return c.index.Lookup(now, checkpoints, buf)
}

// demoteExpired demotes all records once per TTL. A record thus counts as held for
// at most one TTL.
func (c *Coalescer) demoteExpired(now time.Time) {
	if now.Before(c.nextDemotion) {
		return
	}
	c.index.DemoteAll(now)
	c.nextDemotion = now.Add(c.cfg.TTL)
}
