package estimator

import (
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/routing/selector"
)

// Hold writes what the prefix index knows into the candidates of the last call
// of Candidates. What an older incarnation held does not count.
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
		c.HeldBlocks = h.HeldBlocks
		c.UnsureBlocks = h.UnsureBlocks
	}
}
