package selector

import (
	"time"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

// hashedBlocks is the number of leading blocks whose hash determines the home of a
// prompt in PrefixHash.
const hashedBlocks = 8

// PrefixHash chooses the home of the prompt by rendezvous hashing of its leading
// blocks, regardless of load. It is a baseline for comparison with PrefixCost.
type PrefixHash struct {
	cfg Config
	set optionSet
}

// Name implements Policy.
func (p *PrefixHash) Name() string { return namePrefixHash }

// Select implements Policy.
func (p *PrefixHash) Select(_ time.Time, r Request, candidates []Candidate) Decision {
	if len(candidates) == 0 {
		return Decision{Policy: namePrefixHash, Reason: ReasonNoCandidate}
	}
	set := &p.set
	set.reset(&r, candidates, p.cfg.MaxEjected)
	pr := newPricer(p.cfg.Selection, &r, set)
	set.priceOptions(&pr, candidates)
	d := set.buildDecision(&pr, candidates, p.highestScored(p.homeKey(&r), candidates))
	d.Policy = namePrefixHash
	d.Reason = ReasonPrefixHome
	return d
}

// homeKey returns the hash that determines the home of r. It is random for a prompt
// without a complete block.
func (p *PrefixHash) homeKey(r *Request) hasher.Hash {
	if len(r.Chain) == 0 {
		return hasher.Hash(p.cfg.Random.Uint64())
	}
	return r.Chain[min(hashedBlocks, len(r.Chain))-1]
}

// highestScored returns the index of the option in the preferred region with the
// highest rendezvous score for key.
func (p *PrefixHash) highestScored(key hasher.Hash, candidates []Candidate) int {
	best, bestScore := -1, uint64(0)
	for i := range p.set.options {
		o := &p.set.options[i]
		if !p.set.preferred(o) {
			continue
		}
		s := rendezvousScore(key, candidates[o.index].Name)
		if best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}
