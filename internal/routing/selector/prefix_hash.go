package selector

import (
	"time"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

// homeBlocks is the number of leading blocks that name the home of a prompt in
// plain prefix hashing.
const homeBlocks = 8

// PrefixHash chooses the rendezvous home of the leading blocks of the prompt,
// whatever its load. It is a baseline.
type PrefixHash struct {
	cfg   Config
	field field
}

// Name implements Policy.
func (p *PrefixHash) Name() string { return namePrefixHash }

// Select implements Policy.
func (p *PrefixHash) Select(_ time.Time, r Request, candidates []Candidate) Decision {
	if len(candidates) == 0 {
		return Decision{Policy: namePrefixHash, Reason: ReasonNoCandidate}
	}
	f := &p.field
	f.fill(&r, candidates, p.cfg.MaxEjected)
	price := newPricer(p.cfg.Selection, &r, f)
	f.price(&price, candidates)
	d := f.explain(&price, candidates, p.highest(p.key(&r), candidates))
	d.Policy = namePrefixHash
	d.Reason = ReasonPrefixHome
	return d
}

func (p *PrefixHash) key(r *Request) hasher.Hash {
	if len(r.Chain) == 0 {
		return hasher.Hash(p.cfg.Random.Uint64())
	}
	return r.Chain[min(homeBlocks, len(r.Chain))-1]
}

// highest returns the place of the near option with the highest score for key.
func (p *PrefixHash) highest(key hasher.Hash, candidates []Candidate) int {
	best, bestScore := -1, uint64(0)
	for at := range p.field.options {
		o := &p.field.options[at]
		if !p.field.near(o) {
			continue
		}
		s := score(key, candidates[o.at].Name)
		if best < 0 || s > bestScore {
			best, bestScore = at, s
		}
	}
	return best
}
