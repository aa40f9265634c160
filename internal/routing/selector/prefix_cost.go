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
	lowest := 0
	for at, i := range p.live {
		p.totals = append(p.totals, price.cost(&candidates[i]).Total)
		if p.totals[at] < p.totals[lowest] {
			lowest = at
		}
	}
	chosen := p.live[lowest]
	d := outcome(&price, candidates, p.live, chosen)
	d.Policy = namePrefixCost
	d.Reason = ReasonLowestCost
	d.Costs = cheapest(&price, candidates, p.live, p.totals, chosen)
	return d
}
