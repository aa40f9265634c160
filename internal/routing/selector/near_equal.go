package selector

import (
	"time"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

const (
	// nearEqualSlack and nearEqualShare are the absolute and the relative cost
	// difference from the cheapest candidate up to which another counts as equal,
	// since load estimates are not more precise than that.
	nearEqualSlack = 4 * time.Millisecond
	nearEqualShare = 0.05
)

// chooseNearEqual returns the index of one of the options that cost about as much
// as the cheapest, which is at index lowest, and the reason. If the cheapest lacks
// blocks, the choice is by rendezvous hashing, so that all routers choose the same
// upstream and the blocks are computed once. Otherwise it is by power of two
// choices, so that routers do not all choose the same upstream.
func (p *PrefixCost) chooseNearEqual(pr *pricer, candidates []Candidate, lowest int) (int, string) {
	set := &p.set
	cheapest := set.options[lowest]
	limit := cheapest.total + nearEqualSlack + scale(cheapest.total, nearEqualShare)
	p.nearEqual = p.nearEqual[:0]
	for i := range set.options {
		o := &set.options[i]
		if o.priced && o.total <= limit && o.local == cheapest.local {
			p.nearEqual = append(p.nearEqual, int32(i))
		}
	}
	if len(p.nearEqual) == 1 {
		return lowest, ReasonLowestCost
	}
	chain := pr.request.Chain
	if held := candidates[cheapest.index].HeldBlocks; held < len(chain) {
		return p.highestScored(chain[held], candidates), ReasonNearEqual
	}
	return p.powerOfTwoChoices(candidates), ReasonNearEqual
}

// highestScored returns the index of the near-equal option with the highest
// rendezvous score for key.
func (p *PrefixCost) highestScored(key hasher.Hash, candidates []Candidate) int {
	best, bestScore := p.nearEqual[0], uint64(0)
	for _, i := range p.nearEqual {
		if s := rendezvousScore(key, candidates[p.set.options[i].index].Name); s >= bestScore {
			best, bestScore = i, s
		}
	}
	return int(best)
}

// powerOfTwoChoices returns the index of the less loaded of two near-equal options
// drawn at random.
func (p *PrefixCost) powerOfTwoChoices(candidates []Candidate) int {
	a := p.cfg.Random.IntN(len(p.nearEqual))
	b := p.cfg.Random.IntN(len(p.nearEqual) - 1)
	if b >= a {
		b++
	}
	load := func(i int) float64 { return candidates[p.set.options[p.nearEqual[i]].index].load() }
	if load(b) < load(a) {
		a = b
	}
	return int(p.nearEqual[a])
}
