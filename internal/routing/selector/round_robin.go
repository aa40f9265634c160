package selector

import "time"

// RoundRobin chooses the candidates in turn. It is a baseline.
type RoundRobin struct {
	next int
	live []int32
}

// Name implements Policy.
func (p *RoundRobin) Name() string { return nameRoundRobin }

// Select implements Policy.
func (p *RoundRobin) Select(_ time.Time, r Request, candidates []Candidate) Decision {
	if len(candidates) == 0 {
		return Decision{Policy: nameRoundRobin, Reason: ReasonNoCandidate}
	}
	p.live = live(p.live, candidates, 1)
	chosen := &candidates[p.live[p.next%len(p.live)]]
	p.next++
	return Decision{
		Policy:     nameRoundRobin,
		Chosen:     chosen.Name,
		Reason:     ReasonNextInTurn,
		Considered: len(p.live),
		Suspects:   len(candidates) - len(p.live),
		Missing:    max(len(r.Chain)-chosen.HeldBlocks, 0),
		Crossing:   chosen.Region != r.Region,
	}
}
