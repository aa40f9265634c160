package admitter

import "time"

const (
	// noSlotRetryDelay is the retry delay while the capacity is zero.
	noSlotRetryDelay = time.Second
	// minRetryDelay and maxRetryDelay bound the retry delay of a refused request.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 30 * time.Second
)

// estimateWait returns the estimated time until a new request of the flow gets
// a slot. Batch requests also wait for all queued interactive requests and
// use only their share of the slots.
func (a *Admitter) estimateWait(c *class, f *flow) time.Duration {
	ahead := c.costAhead(f)
	slots := a.slots
	if c == a.batch {
		ahead += a.interactive.queuedCost
		slots = int(a.policy.BatchShare * float64(a.slots))
	}
	total := a.estimator.holdTime(ahead) + a.estimator.meanHold
	return total / time.Duration(max(slots, 1))
}

// reserveRetryAt returns the time at which a refused request of the flow may
// retry, not before the drain time has passed. Retry times of one flow are
// spaced by the interval at which the flow gets slots, so that refused requests
// don't all return at once. If that would exceed maxRetryDelay, the spacing
// starts again at the drain time.
func (a *Admitter) reserveRetryAt(now time.Time, c *class, f *flow, drain time.Duration) time.Time {
	drain = min(max(drain, minRetryDelay), maxRetryDelay)
	at := now.Add(drain)
	if f.nextRetryAt.After(at) {
		at = f.nextRetryAt
	}
	if at.Sub(now) > maxRetryDelay {
		at = now.Add(drain)
	}
	f.nextRetryAt = at.Add(a.retryInterval(c, f))
	return at
}

// retryInterval returns the mean time between two slots of the flow at its fair
// share.
func (a *Admitter) retryInterval(c *class, f *flow) time.Duration {
	weight := c.activeWeight
	if f.index == inactiveIndex {
		weight += f.weight
	}
	slotInterval := a.estimator.meanHold / time.Duration(max(a.slots, 1))
	return slotInterval * time.Duration(weight) / time.Duration(f.weight)
}
