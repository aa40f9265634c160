package estimator

import (
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/routing/selector"
)

// AddHoldings adds the holdings of a prefix index to the candidates returned by
// the last call of Candidates. If a candidate has holdings already, the longer
// prefix counts. Holdings of an older incarnation are ignored.
func (e *Estimator) AddHoldings(candidates []selector.Candidate, holdings []indexer.Holding) {
	for _, h := range holdings {
		s, ok := e.byName[h.Upstream]
		if !ok || s.candidateIndex < 0 || s.candidateIndex >= len(candidates) {
			continue
		}
		c := &candidates[s.candidateIndex]
		if h.Incarnation < c.Incarnation {
			continue
		}
		total := max(h.HeldBlocks+h.UnsureBlocks, c.HeldBlocks+c.UnsureBlocks)
		c.HeldBlocks = max(h.HeldBlocks, c.HeldBlocks)
		c.UnsureBlocks = total - c.HeldBlocks
	}
}
