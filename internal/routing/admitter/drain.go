package admitter

import "time"

const (
	// retryWithoutSlots is the time to come back while there is no slot at all.
	retryWithoutSlots = time.Second
	// minReturn and maxReturn bound the time after which a refused request is
	// told to come back.
	minReturn = 100 * time.Millisecond
	maxReturn = 30 * time.Second
)

// estimateWait returns the estimated time until a new request of the flow
// gets a slot.
func (a *Admitter) estimateWait(c *class, f *flow) time.Duration {
	ahead := c.costAhead(f)
	servers := a.slots
	if c == a.batch {
		ahead += a.interactive.queuedCost
		servers = int(a.policy.BatchShare * float64(a.slots))
	}
	total := a.estimator.work(ahead) + a.estimator.hold
	return total / time.Duration(max(servers, 1))
}

// returnAt books a moment to come back. Refused requests of one flow are
// spread over time at the rate at which its share drains.
func (a *Admitter) returnAt(now time.Time, c *class, f *flow, drain time.Duration) time.Time {
	drain = min(max(drain, minReturn), maxReturn)
	at := now.Add(drain)
	if f.returnAt.After(at) {
		at = f.returnAt
	}
	if at.Sub(now) > maxReturn {
		at = now.Add(drain)
	}
	f.returnAt = at.Add(a.interval(c, f))
	return at
}

// interval is the mean time between two slots of the flow at its fair share.
func (a *Admitter) interval(c *class, f *flow) time.Duration {
	weight := c.activeWeight
	if f.index == inactive {
		weight += f.weight
	}
	step := a.estimator.hold / time.Duration(max(a.slots, 1))
	return step * time.Duration(weight) / time.Duration(f.weight)
}
