package selector

import (
	"time"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

// homeBlocks is the number of leading blocks that name the home of a prompt
// where nothing tells how many of its blocks are shared.
const homeBlocks = 8

// PrefixHash chooses the rendezvous home of the leading blocks of the prompt,
// whatever its load. It is a baseline.
type PrefixHash struct {
	cfg   Config
	live  []int32
	local []int32
}

// Name implements Policy.
func (p *PrefixHash) Name() string { return namePrefixHash }

// Select implements Policy.
func (p *PrefixHash) Select(_ time.Time, r Request, candidates []Candidate) Decision {
	if len(candidates) == 0 {
		return Decision{Policy: namePrefixHash, Reason: ReasonNoCandidate}
	}
	p.live = live(p.live, candidates, p.cfg.MaxEjected)
	p.local = sameRegion(p.local[:0], p.live, candidates, r.Region)
	key := hasher.Hash(p.cfg.Random.Uint64())
	if len(r.Chain) > 0 {
		key = r.Chain[min(homeBlocks, len(r.Chain))-1]
	}
	chosen := highest(key, p.local, candidates, anyOf)
	return explain(p.cfg, &r, candidates, p.live, chosen, namePrefixHash, ReasonPrefixHome)
}
