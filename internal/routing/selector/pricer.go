package selector

import (
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

const (
	// defaultPrefillPerBlock is used until a prefill time has been observed.
	defaultPrefillPerBlock = 2 * time.Millisecond
	// defaultServiceTime is used until a service time has been observed.
	defaultServiceTime = time.Second
	// availabilityZoneDistance is the added latency to another availability zone
	// of the same region.
	availabilityZoneDistance = 500 * time.Microsecond
	// unsureShare is the share of unsure blocks that counts as held.
	unsureShare = 0.5
	// bytesPerToken is the assumed size of one completion token.
	bytesPerToken = 4
	// bytesPerMegabyte converts bytes to the unit of the crossing price.
	bytesPerMegabyte = 1 << 20
)

// pricer computes the estimated cost of candidates for one request.
type pricer struct {
	request *Request
	// blocks is the number of blocks of the request.
	blocks         float64
	recomputePrice float64
	// maxLocalHeld is the largest number of leading blocks that a local option holds.
	maxLocalHeld int
	// sharedBlocks is the number of leading blocks that recent requests have in common;
	// 0 if there is no local option to hold them.
	sharedBlocks int
	// crossingLatency and crossingPrice are the added costs of an upstream in
	// another region.
	crossingLatency time.Duration
	crossingPrice   time.Duration
}

func newPricer(weights checker.SelectionPolicy, r *Request, set *optionSet) pricer {
	megabytes := float64(r.PromptBytes+r.MaxTokens*bytesPerToken) / bytesPerMegabyte
	sharedBlocks := min(r.SharedBlocks, len(r.Chain))
	if set.localCount == 0 {
		sharedBlocks = 0
	}
	return pricer{
		request:         r,
		sharedBlocks:    sharedBlocks,
		blocks:          float64(len(r.Chain)),
		recomputePrice:  weights.RecomputePrice,
		maxLocalHeld:    min(set.maxLocalHeld, len(r.Chain)),
		crossingLatency: weights.CrossingLatency.Std(),
		crossingPrice:   scale(weights.CrossingPrice.Std(), megabytes),
	}
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// total returns the sum of all cost components of c.
func (p *pricer) total(c *Candidate, local bool) time.Duration {
	perBlock := prefillPerBlock(c)
	return wait(c, perBlock) + p.prefill(c, perBlock, local) + p.recompute(c, perBlock, local) + p.distance(c, local) + p.crossing(local)
}

// cost returns the cost of c, broken down by component.
func (p *pricer) cost(c *Candidate) Cost {
	local := c.Region == p.request.Region
	perBlock := prefillPerBlock(c)
	return Cost{
		Name:      c.Name,
		Wait:      wait(c, perBlock),
		Prefill:   p.prefill(c, perBlock, local),
		Distance:  p.distance(c, local),
		Recompute: p.recompute(c, perBlock, local),
		Crossing:  p.crossing(local),
		Total:     p.total(c, local),
	}
}

func prefillPerBlock(c *Candidate) time.Duration {
	if c.PrefillPerBlock <= 0 {
		return defaultPrefillPerBlock
	}
	return c.PrefillPerBlock
}

// wait estimates the queueing time of a new request at c: the time to complete
// pending prefill work plus the time until a slot is free.
func wait(c *Candidate, perBlock time.Duration) time.Duration {
	w := scale(perBlock, c.QueuedBlocks)
	excess := c.Queued + c.Running + 1 - float64(c.Slots)
	if excess <= 0 {
		return w
	}
	service := c.ServiceTime
	if service <= 0 {
		service = defaultServiceTime
	}
	return w + scale(service, excess/float64(max(c.Slots, 1)))
}

// prefill estimates the time to provide the missing blocks of the request, either by
// computing all of them or by importing those in the store and computing the rest,
// whichever is faster.
func (p *pricer) prefill(c *Candidate, perBlock time.Duration, local bool) time.Duration {
	missing := p.missingBlocks(c, local)
	computeAll := scale(perBlock, missing)
	if c.ImportPerBlock <= 0 || c.ImportableBlocks == 0 {
		return computeAll
	}
	imported := min(float64(c.ImportableBlocks), p.blocks) - (p.blocks - missing)
	if imported <= 0 {
		return computeAll
	}
	return min(computeAll, scale(c.ImportPerBlock, imported)+scale(perBlock, missing-imported))
}

// lacksShared reports whether no local option holds the whole shared prefix of the
// prompt.
func (p *pricer) lacksShared() bool { return p.maxLocalHeld < p.sharedBlocks }

// missingBlocks returns the expected number of blocks that c has to compute or import.
// While no local option holds the shared prefix, a remote candidate gets no credit
// for holding it, so that the local region obtains its own copy.
func (p *pricer) missingBlocks(c *Candidate, local bool) float64 {
	held := float64(c.HeldBlocks) + unsureShare*float64(c.UnsureBlocks)
	if !local && p.lacksShared() {
		held = max(held-float64(p.sharedBlocks), 0)
	}
	return max(p.blocks-held, 0)
}

func (p *pricer) distance(c *Candidate, local bool) time.Duration {
	switch {
	case !local:
		return p.crossingLatency
	case c.AvailabilityZone != p.request.AvailabilityZone:
		return availabilityZoneDistance
	}
	return 0
}

func (p *pricer) crossing(local bool) time.Duration {
	if local {
		return 0
	}
	return p.crossingPrice
}

// heldElsewhere returns the number of blocks that c would have to compute although
// a local option holds them.
func (p *pricer) heldElsewhere(c *Candidate) int {
	return max(p.maxLocalHeld-c.HeldBlocks, 0)
}

// recompute returns the cost of duplicate prefill at c: of blocks that a local
// option holds and, if c is remote and no local option holds the shared prefix, of
// that prefix, since the local region will have to compute it as well.
func (p *pricer) recompute(c *Candidate, perBlock time.Duration, local bool) time.Duration {
	duplicate := p.heldElsewhere(c)
	if !local && p.lacksShared() {
		duplicate = max(duplicate, p.sharedBlocks)
	}
	return scale(perBlock, p.recomputePrice*float64(duplicate))
}

// regionMargin returns the cost difference by which a remote option has to be cheaper
// than the cheapest local one to be chosen.
func (p *pricer) regionMargin() time.Duration {
	return p.crossingLatency + p.crossingPrice
}
