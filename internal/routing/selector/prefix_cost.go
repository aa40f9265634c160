package selector

import "time"

// PrefixCost chooses the candidate with the lowest estimated cost.
type PrefixCost struct {
	cfg    Config
	live   []int32
	totals []time.Duration
}

// Name implements Policy.
func (p *PrefixCost) Name() string { return namePrefixCost }

// Select implements Policy.
func (p *PrefixCost) Select(_ time.Time, r Request, candidates []Candidate) Decision {
	if len(candidates) == 0 {
		return Decision{Policy: namePrefixCost, Reason: ReasonNoCandidate}
	}
	p.live = live(p.live, candidates, p.cfg.MaxEjected)
	price := newPricer(p.cfg.Selection, &r)
	price.bestHeld = bestHeld(candidates, p.live, r.Region)
	p.totals = p.totals[:0]
	for _, i := range p.live {
		p.totals = append(p.totals, price.cost(&candidates[i]).Total)
	}
	chosen := p.live[p.lowest(&price, candidates)]
	d := outcome(&price, candidates, p.live, chosen)
	d.Policy = namePrefixCost
	d.Reason = ReasonLowestCost
	d.Costs = cheapest(&price, candidates, p.live, p.totals, chosen)
	return d
}

// lowest returns the place in live of the lowest total. Another region has to
// be cheaper than the own one by a margin.
func (p *PrefixCost) lowest(price *pricer, candidates []Candidate) int {
	local, remote := -1, -1
	for at, i := range p.live {
		best := &remote
		if candidates[i].Region == price.request.Region {
			best = &local
		}
		if *best < 0 || p.totals[at] < p.totals[*best] {
			*best = at
		}
	}
	if local < 0 || remote >= 0 && p.totals[remote]+price.margin() < p.totals[local] {
		return remote
	}
	return local
}
