package limiter

import "time"

// Collector sums up the use of organisations for the routers that ask, so that
// each router sends one report to one peer and not to all of them. It is soft
// state: while it is lost, routers fall back to even parts.
type Collector struct {
	self string
	uses map[string]reports
}

// NewCollector returns a Collector that answers under the name self.
func NewCollector(self string) *Collector {
	return &Collector{self: self, uses: make(map[string]reports)}
}

// Observe takes in a router's own use.
func (c *Collector) Observe(now time.Time, u Use) {
	r, ok := c.uses[u.Organisation]
	if !ok {
		r = make(reports)
		c.uses[u.Organisation] = r
	}
	r.observe(now, u)
}

// Sum returns the use of all routers other than the one that asks. It reports
// false where no other router is known.
func (c *Collector) Sum(now time.Time, organisation, asker string) (Use, bool) {
	r := c.uses[organisation]
	rate, routers := r.sum(now, asker)
	if len(r) == 0 {
		delete(c.uses, organisation)
	}
	if routers == 0 {
		return Use{}, false
	}
	return Use{Peer: c.self, Organisation: organisation, Rate: rate, Routers: routers}, true
}
