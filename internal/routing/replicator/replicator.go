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
}

// New returns a Replicator that has seen no request.
func New(cfg Config) (*Replicator, error) {
	cfg = cfg.withDefaults()
	prefixes, err := simplelru.NewLRU[hasher.Hash, *prefix](cfg.MaxPrefixes, nil)
	if err != nil {
		return nil, err
	}
	return &Replicator{cfg: cfg, prefixes: prefixes}, nil
}

// Observe counts a request with these checkpoints and returns how hot its
// prefix is. The deepest checkpoint that is shared decides.
func (r *Replicator) Observe(now time.Time, checkpoints []hasher.Hash) Heat {
	heat := Heat{Replicas: 1}
	shared := true
	var deepest *prefix
	for i, hash := range checkpoints {
		p, ok := r.prefixes.Get(hash)
		if !ok {
			p = &prefix{seenAt: now, replicas: 1}
			r.prefixes.Add(hash, p)
		}
		p.observe(now, r.cfg.HalfLife)
		shared = shared && p.weight >= r.cfg.SharedRequests
		if shared {
			heat.SharedBlocks = (i + 1) * hasher.CheckpointBlocks
			deepest = p
		}
	}
	if deepest == nil {
		return heat
	}
	deepest.replicate(now, deepest.rate(r.cfg.HalfLife)*r.cfg.PeerFactor, &r.cfg)
	heat.Replicas = deepest.replicas
	return heat
}
