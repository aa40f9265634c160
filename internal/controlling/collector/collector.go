// Package collector aggregates the usage of the organisations' rate limits over all
// routers. One controller, the owner, aggregates the usage of each organisation; it is
// selected by rendezvous hashing.
package collector

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/routing/limiter"
)

// Config configures a Collector.
type Config struct {
	// Self is the node name of this controller.
	Self string
	// SendPeer sends a message to another controller. Messages may be lost.
	SendPeer func(node string, m messenger.Message) bool
	// SendRouter sends a message to a router connected to this controller.
	// Messages may be lost.
	SendRouter func(node string, m messenger.Message) bool
}

// Collector aggregates the usage of the organisations that this controller owns and
// forwards the usage of all others to their owners. It is safe for concurrent use.
type Collector struct {
	cfg Config

	mu sync.Mutex
	// sums aggregates the usage of the organisations that this controller owns.
	sums *limiter.Collector
	// owners maps each organisation to the controller that aggregates its usage.
	owners *rendezvous.Rendezvous
	// liveNodes holds the live nodes, each of which runs one router.
	liveNodes []string
	// listedVMs holds this system's own VMs in the platform's list.
	listedVMs []string
}

// New returns a Collector with this controller as the only member.
func New(cfg Config) *Collector {
	c := &Collector{cfg: cfg, sums: limiter.NewCollector(cfg.Self)}
	c.SetMembers([]string{cfg.Self})
	return c
}

// SetMembers sets the names of the live nodes, including this one. Each node runs one
// router.
func (c *Collector) SetMembers(nodes []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.liveNodes = slices.Clone(nodes)
	c.owners = rendezvous.New(nodes, xxhash.Sum64String)
}

// SetListedVMs sets the names of this system's own VMs in the platform's list.
func (c *Collector) SetListedVMs(names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listedVMs = slices.Clone(names)
}

// HandleRouterUsage processes the usage report of a router connected to this
// controller. It sends the router the sums of the organisations that this controller
// owns, and the rest of the report to the other owners. Their sums arrive later and
// are forwarded to the router by ForwardSums.
func (c *Collector) HandleRouterUsage(now time.Time, router string, usage []limiter.Usage) {
	own, others := c.split(router, usage)
	sums := c.observe(now, router, own)
	c.mu.Lock()
	sums.LiveRouters = len(c.liveNodes)
	sums.ListedRouters = max(len(c.listedVMs), len(c.liveNodes))
	sums.Nodes = slices.Concat(c.liveNodes, c.listedVMs)
	slices.Sort(sums.Nodes)
	sums.Nodes = slices.Compact(sums.Nodes)
	c.mu.Unlock()
	c.cfg.SendRouter(router, messenger.Message{UsageTotals: &sums})
	for owner, part := range others {
		c.cfg.SendPeer(owner, messenger.Message{UsageReport: &messenger.UsageReport{Usages: part}})
	}
}

// HandlePeerUsage processes a usage report that another controller forwarded for one of
// its routers, and replies with the sums.
func (c *Collector) HandlePeerUsage(now time.Time, usage []limiter.Usage, reply func(messenger.Message) bool) {
	if len(usage) == 0 {
		return
	}
	sums := c.observe(now, usage[0].Peer, usage)
	reply(messenger.Message{UsageTotals: &sums})
}

// ForwardSums forwards the sums received from an owner to the router that reported the
// usage. Live and Listed are cleared, because the router receives them from this
// controller in the reply to each report.
func (c *Collector) ForwardSums(sums messenger.UsageTotals) {
	sums.LiveRouters, sums.ListedRouters = 0, 0
	c.cfg.SendRouter(sums.Router, messenger.Message{UsageTotals: &sums})
}

// split groups a router's usage by the owner of the organisation. Peer and Routers are
// overwritten, because a router may only report its own usage.
func (c *Collector) split(router string, usage []limiter.Usage) (own []limiter.Usage, others map[string][]limiter.Usage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	others = make(map[string][]limiter.Usage)
	for _, u := range usage {
		u.Peer = router
		u.Routers = 1
		owner := c.owners.Lookup("organisation/" + u.Organisation)
		if owner == c.cfg.Self {
			own = append(own, u)
			continue
		}
		others[owner] = append(others[owner], u)
	}
	return own, others
}

// sum returns the usage of an organisation by all routers except router. Live routers
// without a current report count as routers with no usage. It reports false if there
// are no other routers.
func (c *Collector) sum(now time.Time, organisation, router string) (limiter.Usage, bool) {
	sum, ok := c.sums.Sum(now, organisation, router)
	if !ok {
		sum = limiter.Usage{Peer: c.cfg.Self, Organisation: organisation}
	}
	sum.Routers = max(sum.Routers, len(c.liveNodes)-1)
	return sum, sum.Routers > 0
}

// observe records the usage of a router and returns the usage of the same
// organisations by all other routers.
func (c *Collector) observe(now time.Time, router string, usage []limiter.Usage) messenger.UsageTotals {
	c.mu.Lock()
	defer c.mu.Unlock()
	sums := messenger.UsageTotals{Router: router}
	for _, u := range usage {
		c.sums.Observe(now, u)
		if sum, ok := c.sum(now, u.Organisation, router); ok {
			sums.Totals = append(sums.Totals, sum)
		}
	}
	return sums
}
