package selector

import (
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

const (
	// defaultPrefillPerBlock stands for a prefill time not yet observed.
	defaultPrefillPerBlock = 2 * time.Millisecond
	// defaultServiceTime stands for a service time not yet observed.
	defaultServiceTime = time.Second
	// availabilityZoneDistance is the added time to another availability zone
	// of the same region.
	availabilityZoneDistance = 500 * time.Microsecond
	// unsureShare is the share of unsure blocks that counts as held.
	unsureShare = 0.5
	// bytesPerToken is the assumed size of one token of an answer.
	bytesPerToken = 4
	// bytesPerMegabyte is the unit of the crossing price.
	bytesPerMegabyte = 1 << 20
)

// pricer computes the cost of candidates for one request.
type pricer struct {
	request *Request
	// blocks is the number of blocks of the request.
	blocks         float64
	recomputePrice float64
	// bestHeld is the largest number of leading blocks that a live candidate
	// of the router's region holds.
	bestHeld int
	// shared is the number of leading blocks that the own region needs again
	// and again and can hold.
	shared int
	// crossingLatency and crossingPrice are the cost of another region.
	crossingLatency time.Duration
	crossingPrice   time.Duration
}

func newPricer(weights checker.SelectionPolicy, r *Request, f *field) pricer {
	size := float64(r.PromptBytes+r.MaxTokens*bytesPerToken) / bytesPerMegabyte
	shared := min(r.SharedBlocks, len(r.Chain))
	if f.locals == 0 {
		shared = 0
	}
	return pricer{
		request:         r,
		shared:          shared,
		blocks:          float64(len(r.Chain)),
		recomputePrice:  weights.RecomputePrice,
		bestHeld:        min(f.bestHeld, len(r.Chain)),
		crossingLatency: weights.CrossingLatency.Std(),
		crossingPrice:   scale(weights.CrossingPrice.Std(), size),
	}
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// total returns the whole cost of c.
func (p *pricer) total(c *Candidate, local bool) time.Duration {
	perBlock := prefillPerBlock(c)
	return wait(c, perBlock) + p.prefill(c, perBlock, local) + p.recompute(c, perBlock, local) + p.distance(c, local) + p.crossing(local)
}

// cost returns the cost of c with its parts.
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

// wait estimates the time until c starts on a new request: the prefill work
// before it, and the slots that have to become free.
func wait(c *Candidate, perBlock time.Duration) time.Duration {
	w := scale(perBlock, c.QueuedBlocks)
	over := c.Queued + c.Running + 1 - float64(c.Slots)
	if over <= 0 {
		return w
	}
	service := c.ServiceTime
	if service <= 0 {
		service = defaultServiceTime
	}
	return w + scale(service, over/float64(max(c.Slots, 1)))
}

// prefill estimates the time to make the missing blocks of the request ready,
// by computing all of them or by importing what was kept and computing the rest.
func (p *pricer) prefill(c *Candidate, perBlock time.Duration, local bool) time.Duration {
	missing := p.missing(c, local)
	compute := scale(perBlock, missing)
	if c.ImportPerBlock <= 0 || c.ImportableBlocks == 0 {
		return compute
	}
	imported := min(float64(c.ImportableBlocks), p.blocks) - (p.blocks - missing)
	if imported <= 0 {
		return compute
	}
	return min(compute, scale(c.ImportPerBlock, imported)+scale(perBlock, missing-imported))
}

// lacksShared reports whether no upstream of the own region holds the part of
// the prompt that the region needs again and again.
func (p *pricer) lacksShared() bool { return p.bestHeld < p.shared }

// missing returns the expected number of blocks that c lacks. While the own
// region lacks the shared part, what another region holds of it counts as
// missing, so that the own region gets its copy.
func (p *pricer) missing(c *Candidate, local bool) float64 {
	held := float64(c.HeldBlocks) + unsureShare*float64(c.UnsureBlocks)
	if !local && p.lacksShared() {
		held = max(held-float64(p.shared), 0)
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

// heldElsewhere returns the number of blocks that c would compute although
// another live candidate of the router's region holds them.
func (p *pricer) heldElsewhere(c *Candidate) int {
	return max(p.bestHeld-c.HeldBlocks, 0)
}

// recompute prices the blocks that c would compute although they are computed
// again: those that another upstream of the own region holds and, in another
// region, the shared part while the own region lacks it.
func (p *pricer) recompute(c *Candidate, perBlock time.Duration, local bool) time.Duration {
	again := p.heldElsewhere(c)
	if !local && p.lacksShared() {
		again = max(again, p.shared)
	}
	return scale(perBlock, p.recomputePrice*float64(again))
}

// margin is how much cheaper another region has to be.
func (p *pricer) margin() time.Duration {
	return p.crossingLatency + p.crossingPrice
}
