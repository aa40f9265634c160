package selector

import "time"

// LeastLoaded chooses the candidate with the fewest requests per slot, one of
// the router's own region first. Equals are chosen at random. It is a baseline.
type LeastLoaded struct {
	cfg    Config
	field  field
	equals []int
}

// Name implements Policy.
func (p *LeastLoaded) Name() string { return nameLeastLoaded }

// Select implements Policy.
func (p *LeastLoaded) Select(_ time.Time, r Request, candidates []Candidate) Decision {
	if len(candidates) == 0 {
		return Decision{Policy: nameLeastLoaded, Reason: ReasonNoCandidate}
	}
	f := &p.field
	f.fill(&r, candidates, p.cfg.MaxEjected)
	price := newPricer(p.cfg.Selection, &r, f)
	f.price(&price, candidates)
	d := f.explain(&price, candidates, p.least(candidates))
	d.Policy = nameLeastLoaded
	d.Reason = ReasonLeastLoaded
	return d
}

// least returns the place of one of the least loaded near options.
func (p *LeastLoaded) least(candidates []Candidate) int {
	p.equals = p.equals[:0]
	lowest := 0.0
	for at := range p.field.options {
		o := &p.field.options[at]
		if !p.field.near(o) {
			continue
		}
		load := candidates[o.at].load()
		if len(p.equals) > 0 && load > lowest {
			continue
		}
		if load < lowest {
			p.equals = p.equals[:0]
		}
		lowest = load
		p.equals = append(p.equals, at)
	}
	return p.equals[p.cfg.Random.IntN(len(p.equals))]
}
