package soaker

import (
	"slices"
	"time"
)

// checkOrders checks that no two holders use the same fencing number and that the
// numbers of the orders that an engine accepts do not fall.
func (c *checker) checkOrders() {
	holders := make(map[uint64]string)
	highest := make(map[string]uint64)
	for _, o := range c.Orders {
		if other, ok := holders[o.Number]; ok && other != o.Holder {
			c.violate(OneHolder, o.Engine, "%s and %s order with number %d", other, o.Holder, o.Number)
		}
		holders[o.Number] = o.Holder
		if !o.Accepted {
			continue
		}
		if o.Number < highest[o.Engine] {
			c.violate(OneHolder, o.Engine, "order of %s with number %d accepted after %d", o.Holder, o.Number, highest[o.Engine])
		}
		highest[o.Engine] = max(highest[o.Engine], o.Number)
	}
}

// checkBudget checks that the repeats at a service keep to the retry budget.
func (c *checker) checkBudget() {
	arrivals := slices.Clone(c.Arrivals)
	slices.SortFunc(arrivals, func(a, b Arrival) int { return a.At.Compare(b.At) })
	sent, repeats := make(map[string][]time.Time), make(map[string][]time.Time)
	for i := range c.Calls {
		sent[c.Calls[i].Service] = append(sent[c.Calls[i].Service], c.Calls[i].BeganAt)
	}
	seen := make(map[string]bool)
	for _, a := range arrivals {
		if seen[a.ID] {
			repeats[a.Service] = append(repeats[a.Service], a.At)
		}
		seen[a.ID] = true
	}
	for service, times := range repeats {
		for _, end := range times {
			requests := 0
			for _, back := range []time.Duration{0, c.bounds.RetryWindow / 2, c.bounds.RetryWindow} {
				requests = max(requests, count(sent[service], end.Add(-back), c.bounds.RetryWindow))
			}
			n := count(times, end, c.bounds.RetryWindow)
			if float64(n) > c.bounds.RetryRatio*float64(requests)+float64(c.bounds.RetryExtra) {
				c.violate(RetryBudget, service, "%d repeats for %d calls in %s", n, requests, c.bounds.RetryWindow)
				break
			}
		}
	}
}

// count returns how many times lie in a window that ends at end.
func count(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, t := range times {
		if t.After(end.Add(-window)) && !t.After(end) {
			n++
		}
	}
	return n
}

// checkRecovery checks that calls with valid keys succeed after recovery. Those that hasty
// callers give up before a response is due show nothing.
func (c *checker) checkRecovery() {
	from := c.EndAt.Add(c.bounds.Recover)
	calls, answered := 0, 0
	for i := range c.Calls {
		call := &c.Calls[i]
		givenUp := call.Hasty && call.Outcome == GivenUp
		if call.BeganAt.Before(from) || givenUp || !c.revokedAt(call.Key).IsZero() {
			continue
		}
		calls++
		if call.Outcome == Answered {
			answered++
		}
	}
	if calls == 0 || float64(answered) < minRecovered*float64(calls) {
		c.violate(Recovery, "callers", "%d of %d calls answered from %s after all gateways were ready", answered, calls, c.bounds.Recover)
	}
}
