package selector

import "time"

const (
	// nearEqualSlack and nearEqualShare bound how much dearer than the lowest
	// cost a candidate is that counts as equal: loads are not known better.
	nearEqualSlack = 4 * time.Millisecond
	nearEqualShare = 0.05
)

// nearEqual returns the index of one of the candidates that cost about as much
// as the one at the place lowest. Where blocks are missing, routers choose the
// same one, so that the blocks are computed once; otherwise each chooses two at
// random and takes the less loaded, so that they do not all choose one.
func (p *PrefixCost) nearEqual(price *pricer, candidates []Candidate, lowest int) (int32, string) {
	best := &candidates[p.live[lowest]]
	limit := p.totals[lowest] + nearEqualSlack + scale(p.totals[lowest], nearEqualShare)
	p.pool = p.pool[:0]
	for at, i := range p.live {
		if p.totals[at] <= limit && candidates[i].Region == best.Region {
			p.pool = append(p.pool, i)
		}
	}
	if len(p.pool) == 1 {
		return p.live[lowest], ReasonLowestCost
	}
	chain := price.request.Chain
	if best.HeldBlocks < len(chain) {
		return highest(chain[best.HeldBlocks], p.pool, candidates, anyOf), ReasonNearEqual
	}
	return p.lessLoaded(candidates), ReasonNearEqual
}

// lessLoaded returns the less loaded of two members of the pool.
func (p *PrefixCost) lessLoaded(candidates []Candidate) int32 {
	a := p.cfg.Random.IntN(len(p.pool))
	b := p.cfg.Random.IntN(len(p.pool) - 1)
	if b >= a {
		b++
	}
	if candidates[p.pool[b]].load() < candidates[p.pool[a]].load() {
		a = b
	}
	return p.pool[a]
}
