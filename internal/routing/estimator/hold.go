package estimator

import (
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/routing/selector"
)

// Hold adds what a prefix index knows to the candidates of the last call of
// Candidates; the longer of two beliefs counts. What an older incarnation held
// does not count.
func (e *Estimator) Hold(candidates []selector.Candidate, holdings []indexer.Holding) {
	for _, h := range holdings {
		b, ok := e.byName[h.Upstream]
		if !ok || b.at < 0 || b.at >= len(candidates) {
			continue
		}
		c := &candidates[b.at]
		if h.Incarnation < c.Incarnation {
			continue
		}
		reach := max(h.HeldBlocks+h.UnsureBlocks, c.HeldBlocks+c.UnsureBlocks)
		c.HeldBlocks = max(h.HeldBlocks, c.HeldBlocks)
		c.UnsureBlocks = reach - c.HeldBlocks
	}
}
