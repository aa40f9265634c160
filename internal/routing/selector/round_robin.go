package selector

import "time"

// RoundRobin chooses the candidates in rotation. It is a baseline for comparison
// with PrefixCost. Its zero value is ready to use.
type RoundRobin struct {
	next int
	set  optionSet
}

// Name implements Policy.
func (p *RoundRobin) Name() string { return nameRoundRobin }

// Select implements Policy.
func (p *RoundRobin) Select(_ time.Time, r Request, candidates []Candidate) Decision {
	if len(candidates) == 0 {
		return Decision{Policy: nameRoundRobin, Reason: ReasonNoCandidate}
	}
	set := &p.set
	set.reset(&r, candidates, 1)
	o := set.options[p.next%len(set.options)]
	p.next++
	c := &candidates[o.index]
	return Decision{
		Policy:        nameRoundRobin,
		Chosen:        c.Name,
		Reason:        ReasonNextInTurn,
		Considered:    len(set.options),
		Suspects:      len(candidates) - len(set.options),
		MissingBlocks: max(len(r.Chain)-c.HeldBlocks, 0),
		HeldElsewhere: max(set.maxLocalHeld-c.HeldBlocks, 0),
		CrossRegion:   !o.local,
	}
}
