package selector

import "time"

// PrefixCost chooses the candidate with the lowest estimated cost. It prefers the
// home of the prompt while the prefix has too few replicas, and otherwise chooses
// among the candidates of nearly equal cost.
type PrefixCost struct {
	cfg       Config
	set       optionSet
	ranker    homeRanker
	homes     []int32
	nearEqual []int32
}

// Name implements Policy.
func (p *PrefixCost) Name() string { return namePrefixCost }

// Select implements Policy.
func (p *PrefixCost) Select(_ time.Time, r Request, candidates []Candidate) Decision {
	if len(candidates) == 0 {
		return Decision{Policy: namePrefixCost, Reason: ReasonNoCandidate}
	}
	p.set.reset(&r, candidates, p.cfg.MaxEjected)
	pr := newPricer(p.cfg.Selection, &r, &p.set)
	lowest := p.set.priceOptions(&pr, candidates)
	chosen, reason := p.chooseOption(&pr, candidates, lowest)
	d := p.set.buildDecision(&pr, candidates, chosen)
	d.Policy = namePrefixCost
	d.Reason = reason
	return d
}

// chooseOption returns the index of the chosen option and the reason. The cheapest
// option is at index lowest.
func (p *PrefixCost) chooseOption(pr *pricer, candidates []Candidate, lowest int) (int, string) {
	if p.needsReplica(pr.request) {
		if home, reason := p.chooseHome(pr, candidates, lowest); home >= 0 {
			return home, reason
		}
	}
	return p.chooseNearEqual(pr, candidates, lowest)
}
