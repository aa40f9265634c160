// Package coalescer lets simultaneous requests for one prefix compute it once.
// It remembers what a router's own recent requests made upstreams compute, long
// before cache events tell. It does no I/O and reads no clock.
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

// Config is what a Coalescer is made from. Zero values take defaults.
type Config struct {
	// MaxRecords bounds the remembered checkpoints, and by it the memory.
	MaxRecords int
	// TTL is how long a request is remembered for sure; it counts as unsure
	// for as long again.
	TTL time.Duration
}

// Coalescer is the memory of one router. It is used by one goroutine at a time.
type Coalescer struct {
	cfg   Config
	index *indexer.Index
	ageAt time.Time
}

// New returns a Coalescer that remembers nothing.
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

// Sent notes that a request with these checkpoints went to an upstream of that
// incarnation, which holds them or is about to compute them.
func (c *Coalescer) Sent(now time.Time, upstream, model string, incarnation uint64, checkpoints []hasher.Hash) {
	c.age(now)
	c.index.Confirm(upstream, model, incarnation, checkpoints)
}

// Failed forgets what an upstream was sent, since it may not have computed it.
func (c *Coalescer) Failed(upstream string) { c.index.Remove(upstream) }

// Lookup appends to buf the upstreams that hold or are computing leading
// checkpoints of a chain, as far as the own requests tell.
func (c *Coalescer) Lookup(now time.Time, checkpoints []hasher.Hash, buf []indexer.Holding) []indexer.Holding {
	c.age(now)
	return c.index.Lookup(now, checkpoints, buf)
}

func (c *Coalescer) age(now time.Time) {
	if now.Before(c.ageAt) {
		return
	}
	c.index.Age(now)
	c.ageAt = now.Add(c.cfg.TTL)
}
