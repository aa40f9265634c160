// Package replicator tracks the request rate of prompt prefixes and computes the
// number of upstreams that should cache each. It performs no I/O and does not read
// the clock.
package replicator

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

// Replicator tracks the requests that one router receives. It is not safe for
// concurrent use.
type Replicator struct {
	cfg      Config
	prefixes *simplelru.LRU[hasher.Hash, *prefix]
	// total counts requests for any prefix.
	total prefix
	// upstreams is the number of upstreams of the region.
	upstreams int
}

// New returns a Replicator without recorded requests, for a region of one upstream.
func New(cfg Config) (*Replicator, error) {
	cfg = cfg.withDefaults()
	prefixes, err := simplelru.NewLRU[hasher.Hash, *prefix](cfg.MaxPrefixes, nil)
	if err != nil {
		return nil, err
	}
	return &Replicator{cfg: cfg, prefixes: prefixes, upstreams: 1}, nil
}

// SetUpstreamCount sets the number of upstreams in the region that serve the requests.
func (r *Replicator) SetUpstreamCount(n int) { r.upstreams = max(n, 1) }

// hotWeight returns the weight above which a prefix is hot, since one upstream cannot
// serve it alone: the configured share of the average weight per upstream, but no
// less than the minimum weight of a shared prefix.
func (r *Replicator) hotWeight() float64 {
	return max(r.total.weight/float64(r.upstreams)*r.cfg.MaxPrefixShare, r.cfg.MinSharedWeight)
}

// Observe records a request with the given checkpoint hashes, in order, and returns
// the affinity of its prompt.
func (r *Replicator) Observe(now time.Time, checkpoints []hasher.Hash) Affinity {
	r.total.countRequest(now, r.cfg.HalfLife)
	limit := r.hotWeight()
	affinity := Affinity{Replicas: 1}
	shared := true
	var sharedPrefix *prefix
	for i, hash := range checkpoints {
		p := r.getOrAddPrefix(now, hash)
		p.countRequest(now, r.cfg.HalfLife)
		p.updateHot(limit)
		blocks := (i + 1) * hasher.CheckpointBlocks
		if affinity.HomeBlocks == 0 && !p.hot {
			affinity.HomeBlocks = blocks
		}
		shared = shared && p.weight >= r.cfg.MinSharedWeight
		if shared {
			affinity.SharedBlocks = blocks
			sharedPrefix = p
		}
	}
	if sharedPrefix == nil || affinity.HomeBlocks > 0 && affinity.HomeBlocks <= affinity.SharedBlocks {
		return affinity
	}
	affinity.HomeBlocks = affinity.SharedBlocks
	sharedPrefix.updateReplicas(now, sharedPrefix.weight/limit, &r.cfg)
	affinity.Replicas = sharedPrefix.replicas
	return affinity
}

// getOrAddPrefix returns the statistics of the prefix with the given hash and marks
// it as recently used.
func (r *Replicator) getOrAddPrefix(now time.Time, hash hasher.Hash) *prefix {
	p, ok := r.prefixes.Get(hash)
	if !ok {
		p = &prefix{updatedAt: now, replicas: 1}
		r.prefixes.Add(hash, p)
	}
	return p
}
