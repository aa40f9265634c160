// Package replicator follows how hot each prefix is and says on how many
// upstreams it belongs. It does no I/O and reads no clock.
package replicator

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

// Replicator is the view of one router. It is used by one goroutine at a time.
type Replicator struct {
	cfg      Config
	prefixes *simplelru.LRU[hasher.Hash, *prefix]
	// all counts every request.
	all prefix
	// upstreams is the number of upstreams of the region.
	upstreams int
}

// New returns a Replicator that has seen no request.
func New(cfg Config) (*Replicator, error) {
	cfg = cfg.withDefaults()
	prefixes, err := simplelru.NewLRU[hasher.Hash, *prefix](cfg.MaxPrefixes, nil)
	if err != nil {
		return nil, err
	}
	return &Replicator{cfg: cfg, prefixes: prefixes, upstreams: 1}, nil
}

// SetUpstreams tells the number of upstreams that share the requests.
func (r *Replicator) SetUpstreams(n int) { r.upstreams = max(n, 1) }

// limit returns the weight of requests above which a prefix is too hot for one
// upstream: a part of what each of them gets on average.
func (r *Replicator) limit() float64 {
	return max(r.all.weight/float64(r.upstreams)*r.cfg.HomeShare, r.cfg.SharedRequests)
}

// Observe counts a request with these checkpoints and returns how hot its
// prefix is and where it belongs.
func (r *Replicator) Observe(now time.Time, checkpoints []hasher.Hash) Heat {
	r.all.observe(now, r.cfg.HalfLife)
	limit := r.limit()
	heat := Heat{Replicas: 1}
	shared := true
	var deepest *prefix
	for i, hash := range checkpoints {
		p := r.prefix(now, hash)
		p.observe(now, r.cfg.HalfLife)
		p.split(limit)
		blocks := (i + 1) * hasher.CheckpointBlocks
		if heat.HomeBlocks == 0 && !p.hot {
			heat.HomeBlocks = blocks
		}
		shared = shared && p.weight >= r.cfg.SharedRequests
		if shared {
			heat.SharedBlocks = blocks
			deepest = p
		}
	}
	if deepest == nil || heat.HomeBlocks > 0 && heat.HomeBlocks <= heat.SharedBlocks {
		return heat
	}
	heat.HomeBlocks = heat.SharedBlocks
	deepest.replicate(now, deepest.weight/limit, &r.cfg)
	heat.Replicas = deepest.replicas
	return heat
}

func (r *Replicator) prefix(now time.Time, hash hasher.Hash) *prefix {
	p, ok := r.prefixes.Get(hash)
	if !ok {
		p = &prefix{seenAt: now, replicas: 1}
		r.prefixes.Add(hash, p)
	}
	return p
}
