package selector

import "time"

// LeastLoaded chooses the candidate with the fewest requests per slot, one of
// the router's own region first. Equals are chosen at random. It is a baseline.
type LeastLoaded struct {
	cfg    Config
	live   []int32
	local  []int32
	equals []int32
}

// Name implements Policy.
func (p *LeastLoaded) Name() string { return nameLeastLoaded }

// Select implements Policy.
func (p *LeastLoaded) Select(_ time.Time, r Request, candidates []Candidate) Decision {
	if len(candidates) == 0 {
		return Decision{Policy: nameLeastLoaded, Reason: ReasonNoCandidate}
	}
	p.live = live(p.live, candidates, p.cfg.MaxEjected)
	p.local = sameRegion(p.local[:0], p.live, candidates, r.Region)
	p.equals = p.equals[:0]
	lowest := candidates[p.local[0]].load()
	for _, i := range p.local {
		load := candidates[i].load()
		if load < lowest {
			lowest = load
			p.equals = p.equals[:0]
		}
		if load == lowest {
			p.equals = append(p.equals, i)
		}
	}
	chosen := p.equals[p.cfg.Random.IntN(len(p.equals))]
	return explain(p.cfg, &r, candidates, p.live, chosen, nameLeastLoaded, ReasonLeastLoaded)
}
