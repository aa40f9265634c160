// Package collector sums up what routers use of the limits of organisations.
// Each organisation is summed up by one controller.
package collector

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/routing/limiter"
)

// Config holds what a Collector is built from.
type Config struct {
	// Self is the node of this controller.
	Self string
	// SendPeer sends a message to a controller, SendRouter to a router that is
	// connected here. Loss is expected.
	SendPeer   func(node string, m messenger.Message) bool
	SendRouter func(node string, m messenger.Message) bool
}

// Collector is a controller's part of the sums.
type Collector struct {
	cfg Config

	mu     sync.Mutex
	sums   *limiter.Collector
	owners *rendezvous.Rendezvous
	live   int
	listed int
}

// New returns a Collector that knows of no other controller.
func New(cfg Config) *Collector {
	c := &Collector{cfg: cfg, sums: limiter.NewCollector(cfg.Self)}
	c.SetMembers([]string{cfg.Self})
	return c
}

// SetMembers takes the nodes that are alive, this one among them. Each has one
// router.
func (c *Collector) SetMembers(nodes []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.live = len(nodes)
	c.owners = rendezvous.New(nodes, xxhash.Sum64String)
}

// SetListed takes the number of VMs that the platform lists.
func (c *Collector) SetListed(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed = n
}

// FromRouter takes what a router connected here used. It is answered at once
// with what is known here; the owners of other organisations answer on their own.
func (c *Collector) FromRouter(now time.Time, router string, uses []limiter.Usage) {
	own, others := c.split(router, uses)
	sums := c.observe(now, router, own)
	c.mu.Lock()
	sums.Live = c.live
	sums.Listed = max(c.listed, c.live)
	c.mu.Unlock()
	c.cfg.SendRouter(router, messenger.Message{UseSums: &sums})
	for owner, part := range others {
		c.cfg.SendPeer(owner, messenger.Message{Uses: &messenger.Uses{Uses: part}})
	}
}

// FromPeer takes what a router of another controller used and answers.
func (c *Collector) FromPeer(now time.Time, uses []limiter.Usage, answer func(messenger.Message) bool) {
	if len(uses) == 0 {
		return
	}
	sums := c.observe(now, uses[0].Peer, uses)
	answer(messenger.Message{UseSums: &sums})
}

// Answer hands an owner's answer to the router that it is for.
func (c *Collector) Answer(sums messenger.UseSums) {
	sums.Live, sums.Listed = 0, 0
	c.cfg.SendRouter(sums.Router, messenger.Message{UseSums: &sums})
}

// split parts the uses by the owners of their organisations. A router speaks
// for itself only.
func (c *Collector) split(router string, uses []limiter.Usage) (own []limiter.Usage, others map[string][]limiter.Usage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	others = make(map[string][]limiter.Usage)
	for _, u := range uses {
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

// sum returns what the others use. A router that is alive and has said nothing
// of the organisation uses nothing of it.
func (c *Collector) sum(now time.Time, organisation, router string) (limiter.Usage, bool) {
	sum, ok := c.sums.Sum(now, organisation, router)
	if !ok {
		sum = limiter.Usage{Peer: c.cfg.Self, Organisation: organisation}
	}
	sum.Routers = max(sum.Routers, c.live-1)
	return sum, sum.Routers > 0
}

// observe takes in uses of one router and returns what the others use.
func (c *Collector) observe(now time.Time, router string, uses []limiter.Usage) messenger.UseSums {
	c.mu.Lock()
	defer c.mu.Unlock()
	sums := messenger.UseSums{Router: router}
	for _, u := range uses {
		c.sums.Observe(now, u)
		if sum, ok := c.sum(now, u.Organisation, router); ok {
			sums.Sums = append(sums.Sums, sum)
		}
	}
	return sums
}
