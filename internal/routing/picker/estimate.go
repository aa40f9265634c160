package picker

import (
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
)

const (
	// minLongPromptTokens is the length of the shared parts from which requests
	// are routed by the cached prefixes of upstreams. Prefilling shorter parts
	// costs less than exchanging the state of the caches.
	minLongPromptTokens = 1024
	// prefillPerToken is the prefill time per prompt token of a large model on
	// current accelerators.
	prefillPerToken = 20 * time.Microsecond
	// recomputePerToken is the cost of prefilling a token that another engine
	// has cached. It is five times the prefill time, because recomputation uses
	// paid capacity and delays other requests.
	recomputePerToken = 5 * prefillPerToken
	// offHomePerToken is the cost per shared token of sending a short prompt to
	// an upstream other than its home. It also keeps VMs that have not yet
	// received each other's latest loads from all choosing the engine with the
	// lowest load.
	offHomePerToken = 5 * recomputePerToken
	// slotHoldTime is the assumed time that a request occupies a slot, used to
	// estimate the wait of requests without one.
	slotHoldTime = 400 * time.Millisecond
	// slowdownPerRequest is the delay that each running request adds to others.
	slowdownPerRequest = time.Millisecond
	// crossAvailabilityZoneCost and crossRegionCost are the costs of network
	// latency, crossRegionCostPerKB that of request bytes sent across regions.
	crossAvailabilityZoneCost = time.Millisecond
	crossRegionCost           = 20 * time.Millisecond
	crossRegionCostPerKB      = 1500 * time.Microsecond
	// staleWeightsCost is the cost of older weights while newer ones are
	// wanted.
	staleWeightsCost = 60 * time.Millisecond
	// dueWeightsCost is the cost of weights that are due for replacement: a
	// request queued at the engine may start after their deadline.
	dueWeightsCost = 2 * time.Second
	// failureCost is the cost of an upstream that fails every request.
	failureCost = 400 * time.Millisecond
	// nonHomeCost is the cost of every upstream but the home while none has all
	// shared parts cached, so that all VMs prefill them at the same upstream.
	nonHomeCost = 150 * time.Millisecond
	// minFetchTokens is the number of tokens from which a copy is worth its
	// call.
	minFetchTokens = 1024
	// fetchSetupTime is the fixed time of a copy, whatever its size.
	fetchSetupTime = 5 * time.Millisecond
	// crossAvailabilityZoneFetchFactor and crossRegionFetchFactor multiply the
	// transfer time of copies between availability zones and regions.
	crossAvailabilityZoneFetchFactor = 2
	crossRegionFetchFactor           = 10
	// maxFetchTime is the longest copy that is requested, including its wait.
	// Engines do not start copies that have waited for two seconds.
	maxFetchTime = 1500 * time.Millisecond
	// maxJitter bounds the random cost that makes VMs choose different
	// upstreams among those of equal cost.
	maxJitter = 2 * time.Millisecond
)

// costEstimator estimates the costs of the candidates of one query.
type costEstimator struct {
	now    time.Time
	picker *Picker
	query  Query
	// home is the upstream assigned to the shared parts by rendezvous hashing,
	// nil if the prompt has none.
	home *registrar.Upstream
	// holdings caches the prefix holdings by version of the weights.
	holdings map[uint64]*prefixHoldings
}

func newCostEstimator(now time.Time, p *Picker, q Query, candidates []*registrar.Upstream) *costEstimator {
	e := &costEstimator{now: now, picker: p, query: q, holdings: make(map[uint64]*prefixHoldings)}
	if q.Prompt == nil || len(q.Prompt.Shared) == 0 {
		return e
	}
	if q.Prompt.Long() {
		e.home = e.rendezvousHome(q.Prompt.PrefixID(), e.inStoreRegion(candidates))
		return e
	}
	// Short prompts stay in the VM's availability zone if it has an upstream.
	near := candidates[:0:0]
	for _, u := range candidates {
		if u.AvailabilityZone == p.cfg.AvailabilityZone {
			near = append(near, u)
		}
	}
	if len(near) == 0 {
		near = candidates
	}
	e.home = e.rendezvousHome(q.Prompt.PrefixID(), near)
	return e
}

// inStoreRegion returns the candidates with a cache store in their region, or
// all candidates if there are none. Prompts prefilled at them can be saved to
// the store and outlast eviction from the engines' memory.
func (e *costEstimator) inStoreRegion(candidates []*registrar.Upstream) []*registrar.Upstream {
	near := candidates[:0:0]
	for _, u := range candidates {
		for _, store := range e.query.Prompt.Stores {
			if e.sameRegion(u.AvailabilityZone, store.AvailabilityZone) {
				near = append(near, u)
			}
		}
	}
	if len(near) == 0 {
		return candidates
	}
	return near
}

// rendezvousHome returns the upstream that rendezvous hashing, weighted by speed, assigns
// to a part.
func (e *costEstimator) rendezvousHome(part string, candidates []*registrar.Upstream) *registrar.Upstream {
	var best *registrar.Upstream
	var bestScore homeScore
	for _, u := range candidates {
		score := newHomeScore(part, u, speedStepOf(e.query.speed(u)))
		if best == nil || score.above(bestScore) {
			best, bestScore = u, score
		}
	}
	return best
}

// estimateCosts returns the choice of u with the estimated costs of sending the
// request there.
func (e *costEstimator) estimateCosts(u *registrar.Upstream, load Load) Choice {
	c := Choice{Upstream: u, Reason: LowestCost, Load: load, Speed: e.query.speed(u)}
	c.Costs.Queue = time.Duration(load.InFlight) * slowdownPerRequest
	if over := load.InFlight + 1 - max(u.Slots, 1); over > 0 {
		c.Costs.Queue += time.Duration(over) * slotHoldTime / time.Duration(max(u.Slots, 1))
	}
	c.Costs.Distance = e.distanceCost(u) + time.Duration(e.picker.rng.Int64N(int64(maxJitter)))
	if s := e.picker.states[u.ID]; s != nil {
		c.Costs.Failures = time.Duration(s.failureRate * float64(failureCost))
	}
	if e.query.Prompt != nil {
		e.addPromptCosts(u, load, &c)
	}
	c.Costs.Queue, c.Costs.Prefill = atSpeed(c.Costs.Queue, c.Speed), atSpeed(c.Costs.Prefill, c.Speed)
	return c
}

// distanceCost returns the cost of the network path to u.
func (e *costEstimator) distanceCost(u *registrar.Upstream) time.Duration {
	own := e.picker.cfg.AvailabilityZone
	switch {
	case u.AvailabilityZone == own:
		return 0
	case e.sameRegion(u.AvailabilityZone, own):
		return crossAvailabilityZoneCost
	}
	return crossRegionCost + crossRegionCostPerKB*time.Duration(e.query.BodyBytes)/1024
}

func (e *costEstimator) sameRegion(a, b string) bool {
	return e.picker.cfg.Regions[a] == e.picker.cfg.Regions[b]
}

// addPromptCosts adds the costs of the prompt at u to c.
func (e *costEstimator) addPromptCosts(u *registrar.Upstream, load Load, c *Choice) {
	prompt := e.query.Prompt
	c.Costs.Queue += time.Duration(load.PromptTokens) * prefillPerToken
	c.WeightsVersion = prompt.WeightsVersion(u)
	switch {
	case c.WeightsVersion < prompt.DueVersion:
		c.Costs.StaleWeights = dueWeightsCost
	case c.WeightsVersion < prompt.NewestVersion:
		c.Costs.StaleWeights = staleWeightsCost
	}
	shared := prompt.SharedTokens()
	missing := prompt.Tokens
	switch {
	case shared == 0:
	case prompt.Long():
		missing -= e.addLongPromptCosts(u, shared, c)
	case u == e.home:
		missing -= shared
		c.Reason = PrefixHome
	default:
		c.Costs.Recompute = time.Duration(shared) * offHomePerToken
	}
	c.PromptTokens = max(missing, 0)
	c.Costs.Prefill = time.Duration(c.PromptTokens) * prefillPerToken
}

// addLongPromptCosts adds the costs of long shared parts at u to c. It returns
// the number of their tokens that u need not prefill.
func (e *costEstimator) addLongPromptCosts(u *registrar.Upstream, shared int, c *Choice) int {
	c.Scope = e.query.Prompt.Scope(c.WeightsVersion)
	h := e.prefixHoldings(c.WeightsVersion, c.Scope)
	own := min(h.tokens[u.ID], shared)
	e.selectSaveStore(u, h, shared, c)
	if own > 0 {
		c.Reason = PrefixHeld
	}
	if best := e.cheapestFetch(u, own, shared, h); best.tokens > 0 {
		c.Costs.Fetch, c.Costs.Copy = best.wait+best.copy, best.copy
		c.Source, c.Reason = best.source, PrefixFetch
		own = best.tokens
	}
	if longest := min(h.longest, shared); longest > own {
		c.Costs.Recompute = time.Duration(longest-own) * recomputePerToken
	}
	if h.longest+minFetchTokens <= shared && u != e.home {
		c.Costs.Recompute += nonHomeCost
	} else if u == e.home && own == 0 {
		c.Reason = PrefixHome
	}
	return own
}

// selectSaveStore sets c.Save to a store in u's region that lacks at least
// minFetchTokens of the shared parts.
func (e *costEstimator) selectSaveStore(u *registrar.Upstream, h *prefixHoldings, shared int, c *Choice) {
	for i := range e.query.Prompt.Stores {
		store := &e.query.Prompt.Stores[i]
		if e.sameRegion(u.AvailabilityZone, store.AvailabilityZone) && h.tokens[store.ID]+minFetchTokens <= shared {
			c.SaveStore = store
		}
	}
}
