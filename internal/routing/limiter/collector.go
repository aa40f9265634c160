package limiter

import "time"

// Collector aggregates the usage reports of routers per organisation, so that
// each router reports to one peer instead of to all other routers. It is soft
// state: while it is lost, routers fall back to even shares.
type Collector struct {
	self    string
	reports map[string]reports
}

// NewCollector returns a Collector that reports sums with self as peer name.
func NewCollector(self string) *Collector {
	return &Collector{self: self, reports: make(map[string]reports)}
}

// Observe records the usage of one router.
func (c *Collector) Observe(now time.Time, u Usage) {
	r, ok := c.reports[u.Organisation]
	if !ok {
		r = make(reports)
		c.reports[u.Organisation] = r
	}
	r.observe(now, u)
}

// Sum returns the total usage of all routers except the requesting one. It
// reports false if no other router has a current report.
func (c *Collector) Sum(now time.Time, organisation, requester string) (Usage, bool) {
	r := c.reports[organisation]
	rate, routers := r.sum(now, requester)
	if len(r) == 0 {
		delete(c.reports, organisation)
	}
	if routers == 0 {
		return Usage{}, false
	}
	return Usage{Peer: c.self, Organisation: organisation, Rate: rate, Routers: routers}, true
}
