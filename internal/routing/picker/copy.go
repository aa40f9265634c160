package picker

import (
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
)

// copied is a copy of cache that an engine may ask for.
type copied struct {
	source *Source
	// tokens is what the engine has after it.
	tokens int
	wait   time.Duration
	copy   time.Duration
}

// cost is what the copy takes, with what is then still to be read.
func (c copied) cost(shared int) time.Duration {
	return c.wait + c.copy + time.Duration(shared-c.tokens)*(readPerToken+recomputePerToken)
}

// fetch returns the best copy for an engine that has own tokens itself; one of
// no tokens where reading them is as good.
func (e *estimate) fetch(u *registrar.Upstream, own, shared int, h *held) copied {
	var best copied
	for _, o := range h.sources {
		tokens := min(o.tokens, shared)
		if o.source.ID == u.ID || tokens-own < leastFetch || o.source.rate <= 0 {
			continue
		}
		seconds := float64(tokens-own) * e.query.Prompt.Engine.TokenBytes / o.source.rate * e.factor(u, o.source.zone)
		c := copied{
			source: o.source,
			tokens: tokens,
			wait:   o.source.copying,
			copy:   fetchSetup + time.Duration(seconds*float64(time.Second)),
		}
		if c.wait+c.copy > longestFetch {
			continue
		}
		if best.source == nil || c.cost(shared) < best.cost(shared) {
			best = c
		}
	}
	return best
}

// factor is by how much a copy to u takes longer than within its zone.
func (e *estimate) factor(u *registrar.Upstream, zone string) float64 {
	switch {
	case u.AvailabilityZone == zone:
		return 1
	case e.sameRegion(u.AvailabilityZone, zone):
		return zoneFetchFactor
	}
	return regionFetchFactor
}
