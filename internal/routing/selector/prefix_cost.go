package selector

import "time"

// PrefixCost chooses the candidate with the lowest estimated cost.
type PrefixCost struct {
	cfg    Config
	live   []int32
	pool   []int32
	homes  []int32
	ladder ladder
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
	lowest := p.lowest(&price, candidates)
	chosen, reason := p.choose(&price, candidates, lowest)
	d := outcome(&price, candidates, p.live, chosen)
	d.Policy = namePrefixCost
	d.Reason = reason
	d.Costs = cheapest(&price, candidates, p.live, p.totals, chosen)
	return d
}

// choose returns the index of the chosen candidate and the reason. The lowest
// total is at the place lowest.
func (p *PrefixCost) choose(price *pricer, candidates []Candidate, lowest int) (int32, string) {
	r := price.request
	if r.homeDepth() > 0 && (price.bestHeld < r.homeDepth() || p.holders(price, candidates) < r.Replicas) {
		if home, reason := p.home(price, candidates, lowest); home >= 0 {
			return home, reason
		}
	}
	return p.nearEqual(price, candidates, lowest)
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

// holders counts the candidates of the own region that hold all that names the
// home.
func (p *PrefixCost) holders(price *pricer, candidates []Candidate) int {
	n := 0
	depth := price.request.homeDepth()
	for _, i := range p.live {
		if candidates[i].Region == price.request.Region && candidates[i].HeldBlocks >= depth {
			n++
		}
	}
	return n
}
