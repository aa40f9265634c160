package selector

import (
	"cmp"
	"slices"
)

// explain returns the decision for the candidate at the place chosen, with the
// costs of the cheapest options that were priced.
func (f *field) explain(p *pricer, candidates []Candidate, chosen int) Decision {
	c := &candidates[f.options[chosen].at]
	return Decision{
		Chosen:        c.Name,
		Costs:         f.cheapest(p, candidates, chosen),
		Considered:    f.priced,
		Suspects:      len(candidates) - len(f.options),
		Missing:       max(len(p.request.Chain)-c.HeldBlocks, 0),
		HeldElsewhere: p.heldElsewhere(c),
		Crossing:      !f.options[chosen].local,
	}
}

// cheapest returns the costs of the MaxCosts cheapest options, the chosen one
// always among them.
func (f *field) cheapest(p *pricer, candidates []Candidate, chosen int) []Cost {
	var top [MaxCosts]int
	n := 0
	for at := range f.options {
		if !f.options[at].priced {
			continue
		}
		total := f.options[at].total
		if n == MaxCosts && total >= f.options[top[n-1]].total {
			continue
		}
		n = min(n+1, MaxCosts)
		place := n - 1
		for place > 0 && f.options[top[place-1]].total > total {
			top[place] = top[place-1]
			place--
		}
		top[place] = at
	}
	if !slices.Contains(top[:n], chosen) {
		top[n-1] = chosen
	}
	costs := make([]Cost, 0, n)
	for _, at := range top[:n] {
		costs = append(costs, p.cost(&candidates[f.options[at].at]))
	}
	slices.SortStableFunc(costs, func(a, b Cost) int { return cmp.Compare(a.Total, b.Total) })
	return costs
}
