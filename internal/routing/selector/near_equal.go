package selector

import (
	"time"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

const (
	// nearEqualSlack and nearEqualShare bound how much dearer than the lowest
	// cost a candidate is that counts as equal: loads are not known better.
	nearEqualSlack = 4 * time.Millisecond
	nearEqualShare = 0.05
)

// nearEqual returns the place of one of the options that cost about as much as
// the one at the place lowest. Where blocks are missing, routers choose the same
// one, so that the blocks are computed once; otherwise each chooses two at random
// and takes the less loaded, so that they do not all choose one.
func (p *PrefixCost) nearEqual(price *pricer, candidates []Candidate, lowest int) (int, string) {
	f := &p.field
	best := f.options[lowest]
	limit := best.total + nearEqualSlack + scale(best.total, nearEqualShare)
	p.equals = p.equals[:0]
	for at := range f.options {
		o := &f.options[at]
		if o.priced && o.total <= limit && o.local == best.local {
			p.equals = append(p.equals, int32(at))
		}
	}
	if len(p.equals) == 1 {
		return lowest, ReasonLowestCost
	}
	chain := price.request.Chain
	if held := candidates[best.at].HeldBlocks; held < len(chain) {
		return p.highest(chain[held], candidates), ReasonNearEqual
	}
	return p.lessLoaded(candidates), ReasonNearEqual
}

// highest returns the place with the highest score for key among the equals.
func (p *PrefixCost) highest(key hasher.Hash, candidates []Candidate) int {
	best, bestScore := p.equals[0], uint64(0)
	for _, at := range p.equals {
		if s := score(key, candidates[p.field.options[at].at].Name); s >= bestScore {
			best, bestScore = at, s
		}
	}
	return int(best)
}

// lessLoaded returns the less loaded of two of the equals.
func (p *PrefixCost) lessLoaded(candidates []Candidate) int {
	a := p.cfg.Random.IntN(len(p.equals))
	b := p.cfg.Random.IntN(len(p.equals) - 1)
	if b >= a {
		b++
	}
	load := func(i int) float64 { return candidates[p.field.options[p.equals[i]].at].load() }
	if load(b) < load(a) {
		a = b
	}
	return int(p.equals[a])
}
