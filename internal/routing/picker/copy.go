package picker

import (
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
)

// fetchOption is a copy of cached tokens that an upstream can fetch from a
// source.
type fetchOption struct {
	source *Source
	// tokens is the number of leading tokens that the upstream holds after the
	// copy.
	tokens int
	// wait is the time until the source's link is free, copy the time of the
	// transfer itself.
	wait time.Duration
	copy time.Duration
}

// cost returns the time of the copy plus the cost of recomputing the shared
// tokens that it does not cover.
func (o fetchOption) cost(shared int) time.Duration {
	return o.wait + o.copy + time.Duration(shared-o.tokens)*(prefillPerToken+recomputePerToken)
}

// cheapestFetch returns the cheapest copy for u, which holds the first own
// tokens of the shared parts itself. It returns the zero value if no source
// adds at least minFetchTokens within maxFetchTime.
func (e *costEstimator) cheapestFetch(u *registrar.Upstream, own, shared int, h *prefixHoldings) fetchOption {
	var best fetchOption
	for _, s := range h.sources {
		tokens := min(s.tokens, shared)
		if s.source.ID == u.ID || tokens-own < minFetchTokens || s.source.rate <= 0 {
			continue
		}
		seconds := float64(tokens-own) * e.query.Prompt.Engine.TokenBytes / s.source.rate * e.fetchFactor(u, s.source.availabilityZone)
		o := fetchOption{
			source: s.source,
			tokens: tokens,
			wait:   s.source.copying,
			copy:   fetchSetupTime + time.Duration(seconds*float64(time.Second)),
		}
		if o.wait+o.copy > maxFetchTime {
			continue
		}
		if best.source == nil || o.cost(shared) < best.cost(shared) {
			best = o
		}
	}
	return best
}

// fetchFactor returns how many times as long a copy to u takes from an
// availability zone as from u's own.
func (e *costEstimator) fetchFactor(u *registrar.Upstream, availabilityZone string) float64 {
	switch {
	case u.AvailabilityZone == availabilityZone:
		return 1
	case e.sameRegion(u.AvailabilityZone, availabilityZone):
		return crossAvailabilityZoneFetchFactor
	}
	return crossRegionFetchFactor
}
