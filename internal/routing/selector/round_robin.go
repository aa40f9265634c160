package selector

import "time"

// RoundRobin chooses the candidates in turn. It is a baseline.
type RoundRobin struct {
	next  int
	field field
}

// Name implements Policy.
func (p *RoundRobin) Name() string { return nameRoundRobin }

// Select implements Policy.
func (p *RoundRobin) Select(_ time.Time, r Request, candidates []Candidate) Decision {
	if len(candidates) == 0 {
		return Decision{Policy: nameRoundRobin, Reason: ReasonNoCandidate}
	}
	f := &p.field
	f.fill(&r, candidates, 1)
	o := f.options[p.next%len(f.options)]
	p.next++
	c := &candidates[o.at]
	return Decision{
		Policy:        nameRoundRobin,
		Chosen:        c.Name,
		Reason:        ReasonNextInTurn,
		Considered:    len(f.options),
		Suspects:      len(candidates) - len(f.options),
		Missing:       max(len(r.Chain)-c.HeldBlocks, 0),
		HeldElsewhere: max(f.bestHeld-c.HeldBlocks, 0),
		Crossing:      !o.local,
	}
}
