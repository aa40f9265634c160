package selector

import "time"

// PrefixCost chooses the candidate with the lowest estimated cost, the home of
// the prompt where too few are known to hold it, and one of the near-equals.
type PrefixCost struct {
	cfg    Config
	field  field
	ladder ladder
	homes  []int32
	equals []int32
}

// Name implements Policy.
func (p *PrefixCost) Name() string { return namePrefixCost }

// Select implements Policy.
func (p *PrefixCost) Select(_ time.Time, r Request, candidates []Candidate) Decision {
	if len(candidates) == 0 {
		return Decision{Policy: namePrefixCost, Reason: ReasonNoCandidate}
	}
	p.field.fill(&r, candidates, p.cfg.MaxEjected)
	price := newPricer(p.cfg.Selection, &r, &p.field)
	lowest := p.field.price(&price, candidates)
	chosen, reason := p.choose(&price, candidates, lowest)
	d := p.field.explain(&price, candidates, chosen)
	d.Policy = namePrefixCost
	d.Reason = reason
	return d
}

// choose returns the place of the chosen option and the reason. The lowest total
// is at the place lowest.
func (p *PrefixCost) choose(price *pricer, candidates []Candidate, lowest int) (int, string) {
	if p.wantsHome(price.request) {
		if home, reason := p.home(price, candidates, lowest); home >= 0 {
			return home, reason
		}
	}
	return p.nearEqual(price, candidates, lowest)
}
