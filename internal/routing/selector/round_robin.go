package selector

import "time"

// RoundRobin chooses the candidates in turn. It is a baseline.
type RoundRobin struct {
	next int
}

// Name implements Policy.
func (p *RoundRobin) Name() string { return "round_robin" }

// Select implements Policy.
func (p *RoundRobin) Select(_ time.Time, r Request, candidates []Candidate) Decision {
	if len(candidates) == 0 {
		return Decision{Reason: "no_candidate"}
	}
	chosen := candidates[p.next%len(candidates)]
	p.next++
	return Decision{
		Chosen:  chosen.Name,
		Reason:  "next_in_turn",
		Missing: len(r.Chain) - chosen.HeldBlocks,
	}
}
