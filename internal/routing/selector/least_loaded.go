package selector

import "time"

// LeastLoaded chooses the candidate with the fewest requests per slot in the
// router's region, or in any region if the router's has none. Ties are broken at
// random. It is a baseline for comparison with PrefixCost.
type LeastLoaded struct {
	cfg  Config
	set  optionSet
	ties []int
}

// Name implements Policy.
func (p *LeastLoaded) Name() string { return nameLeastLoaded }

// Select implements Policy.
func (p *LeastLoaded) Select(_ time.Time, r Request, candidates []Candidate) Decision {
	if len(candidates) == 0 {
		return Decision{Policy: nameLeastLoaded, Reason: ReasonNoCandidate}
	}
	set := &p.set
	set.reset(&r, candidates, p.cfg.MaxEjected)
	pr := newPricer(p.cfg.Selection, &r, set)
	set.priceOptions(&pr, candidates)
	d := set.buildDecision(&pr, candidates, p.leastLoaded(candidates))
	d.Policy = nameLeastLoaded
	d.Reason = ReasonLeastLoaded
	return d
}

// leastLoaded returns the index of a random one of the least loaded options in
// the preferred region.
func (p *LeastLoaded) leastLoaded(candidates []Candidate) int {
	p.ties = p.ties[:0]
	lowest := 0.0
	for i := range p.set.options {
		o := &p.set.options[i]
		if !p.set.preferred(o) {
			continue
		}
		load := candidates[o.index].load()
		if len(p.ties) > 0 && load > lowest {
			continue
		}
		if load < lowest {
			p.ties = p.ties[:0]
		}
		lowest = load
		p.ties = append(p.ties, i)
	}
	return p.ties[p.cfg.Random.IntN(len(p.ties))]
}
