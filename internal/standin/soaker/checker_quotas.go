package soaker

import (
	"net/http"
	"slices"
	"time"
)

// Quota is what all gateways together may run for an organisation.
type Quota struct {
	PerSecond float64
	Burst     float64
	// Over and Slack are the tolerance in each Window.
	Over   float64
	Slack  float64
	Window time.Duration
	// Usual is true if the usual load stays below the quota, so that no call is refused.
	Usual bool
}

// allowed returns what may be run in a window.
func (q Quota) allowed() float64 {
	return (q.PerSecond*q.Window.Seconds()+q.Burst)*(1+q.Over) + q.Slack
}

// checkQuotas checks that upstreams run no more for an organisation than its quota allows, a
// call that is run again counting once, and that no other organisation is refused.
func (c *checker) checkQuotas() {
	for i := range c.Calls {
		call := &c.Calls[i]
		if call.Status != http.StatusTooManyRequests || call.Organisation == "" {
			continue
		}
		if q, ok := c.bounds.Quotas[call.Organisation]; !ok || q.Usual {
			c.violate(QuotaRefusal, call.ID, "answered %d at %s for %s, which is within its quota or has none", call.Status, call.Gateway, call.Organisation)
		}
	}
	for organisation, q := range c.bounds.Quotas {
		c.checkQuota(organisation, q)
	}
}

func (c *checker) checkQuota(organisation string, q Quota) {
	var runs []Run
	for _, list := range c.runsOf {
		first := slices.MinFunc(list, func(a, b Run) int { return a.At.Compare(b.At) })
		if first.Organisation == organisation {
			runs = append(runs, first)
		}
	}
	slices.SortFunc(runs, func(a, b Run) int { return a.At.Compare(b.At) })
	sum, begin := 0.0, 0
	for _, r := range runs {
		sum += r.Amount
		for !r.At.Before(runs[begin].At.Add(q.Window)) {
			sum -= runs[begin].Amount
			begin++
		}
		if sum > q.allowed() {
			c.violate(WithinQuota, organisation, "%.0f run in the %s before %s, allowed %.0f", sum, q.Window, r.At.Format(time.StampMilli), q.allowed())
			return
		}
	}
}
