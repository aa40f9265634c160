package selector

import (
	"cmp"
	"slices"
)

// buildDecision returns the decision for the option at index chosen, with the
// costs of the cheapest options. The caller sets the policy and the reason.
func (s *optionSet) buildDecision(p *pricer, candidates []Candidate, chosen int) Decision {
	c := &candidates[s.options[chosen].index]
	return Decision{
		Chosen:        c.Name,
		Costs:         s.cheapestCosts(p, candidates, chosen),
		Considered:    s.pricedCount,
		Suspects:      len(candidates) - len(s.options),
		MissingBlocks: max(len(p.request.Chain)-c.HeldBlocks, 0),
		HeldElsewhere: p.heldElsewhere(c),
		CrossRegion:   !s.options[chosen].local,
	}
}

// cheapestCosts returns the costs of the MaxCosts cheapest options in ascending
// order. The chosen option replaces the last of them if it is not included.
func (s *optionSet) cheapestCosts(p *pricer, candidates []Candidate, chosen int) []Cost {
	var top [MaxCosts]int
	n := 0
	for i := range s.options {
		if !s.options[i].priced {
			continue
		}
		total := s.options[i].total
		if n == MaxCosts && total >= s.options[top[n-1]].total {
			continue
		}
		n = min(n+1, MaxCosts)
		pos := n - 1
		for pos > 0 && s.options[top[pos-1]].total > total {
			top[pos] = top[pos-1]
			pos--
		}
		top[pos] = i
	}
	if !slices.Contains(top[:n], chosen) {
		top[n-1] = chosen
	}
	costs := make([]Cost, 0, n)
	for _, i := range top[:n] {
		costs = append(costs, p.cost(&candidates[s.options[i].index]))
	}
	slices.SortStableFunc(costs, func(a, b Cost) int { return cmp.Compare(a.Total, b.Total) })
	return costs
}
