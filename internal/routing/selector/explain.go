package selector

import (
	"cmp"
	"slices"
	"time"
)

// explain returns the decision for the candidate of index chosen with the
// costs of the cheapest candidates among indexes.
func explain(cfg Config, r *Request, candidates []Candidate, indexes []int32, chosen int32, policy, reason string) Decision {
	p := newPricer(cfg.Selection, r)
	p.bestHeld = bestHeld(candidates, indexes, r.Region)
	d := outcome(&p, candidates, indexes, chosen)
	d.Policy = policy
	d.Reason = reason
	totals := make([]time.Duration, 0, len(indexes))
	for _, i := range indexes {
		totals = append(totals, p.cost(&candidates[i]).Total)
	}
	d.Costs = cheapest(&p, candidates, indexes, totals, chosen)
	return d
}

// bestHeld returns the largest number of leading blocks that a candidate of
// region holds.
func bestHeld(candidates []Candidate, indexes []int32, region string) int {
	best := 0
	for _, i := range indexes {
		if candidates[i].Region == region {
			best = max(best, candidates[i].HeldBlocks)
		}
	}
	return best
}

// outcome returns the decision for chosen without policy, reason and costs.
func outcome(p *pricer, candidates []Candidate, indexes []int32, chosen int32) Decision {
	c := &candidates[chosen]
	return Decision{
		Chosen:        c.Name,
		Considered:    len(indexes),
		Suspects:      len(candidates) - len(indexes),
		Missing:       max(len(p.request.Chain)-c.HeldBlocks, 0),
		HeldElsewhere: p.heldElsewhere(c),
		Crossing:      c.Region != p.request.Region,
	}
}

// cheapest returns the costs of the MaxCosts cheapest candidates, the chosen
// one always among them. The totals belong to indexes, item by item.
func cheapest(p *pricer, candidates []Candidate, indexes []int32, totals []time.Duration, chosen int32) []Cost {
	var top [MaxCosts]int
	n := 0
	for at, total := range totals {
		if n == MaxCosts && total >= totals[top[n-1]] {
			continue
		}
		n = min(n+1, MaxCosts)
		place := n - 1
		for place > 0 && totals[top[place-1]] > total {
			top[place] = top[place-1]
			place--
		}
		top[place] = at
	}
	costs := make([]Cost, 0, n)
	for _, at := range top[:n] {
		costs = append(costs, p.cost(&candidates[indexes[at]]))
	}
	name := candidates[chosen].Name
	if !slices.ContainsFunc(costs, func(c Cost) bool { return c.Name == name }) {
		costs[n-1] = p.cost(&candidates[chosen])
	}
	slices.SortStableFunc(costs, func(a, b Cost) int { return cmp.Compare(a.Total, b.Total) })
	return costs
}
