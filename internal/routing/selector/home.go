package selector

const (
	// boundedLoad is the load of a home, as a multiple of the mean, above
	// which its prefixes go to the next upstream in rendezvous order.
	boundedLoad = 1.25
	// freeLoad is the load that is always low enough for a home.
	freeLoad = 0.9
)

// home returns the index of the upstream that a prompt is sent to while nobody
// is known to hold any of it, and the reason; -1 where the request has no home.
// All routers agree on it, so that the prefix is computed in few places even
// without an index.
func (p *PrefixCost) home(price *pricer, candidates []Candidate, lowest int) (int32, string) {
	r := price.request
	p.pool = sameRegion(p.pool[:0], p.live, candidates, r.Region)
	depth := r.homeDepth()
	p.ladder.climb(r)
	limit := max(boundedLoad*meanLoad(candidates, p.pool), freeLoad)
	credit := scale(prefillPerBlock(&candidates[p.live[lowest]]), float64(depth)*(1+price.weights.RecomputePrice))
	worst := p.totals[lowest] + credit
	accept := func(i int32) bool {
		c := &candidates[i]
		return c.load() <= limit && price.cost(c).Total <= worst
	}
	p.homes = p.ladder.top(p.homes[:0], p.pool, candidates, max(r.Replicas, 1))
	home := int32(-1)
	for _, i := range p.homes {
		if accept(i) && (home < 0 || price.cost(&candidates[i]).Total < price.cost(&candidates[home]).Total) {
			home = i
		}
	}
	if home >= 0 {
		return home, ReasonPrefixHome
	}
	return p.ladder.highest(p.pool, candidates, accept), ReasonHomeOverflow
}

func meanLoad(candidates []Candidate, indexes []int32) float64 {
	sum := 0.0
	for _, i := range indexes {
		sum += candidates[i].load()
	}
	return sum / float64(max(len(indexes), 1))
}
