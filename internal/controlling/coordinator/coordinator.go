package coordinator

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/caching/forwarder"
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/caching/partitioner"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// flushInterval is the time between two batches of index updates.
const flushInterval = 100 * time.Millisecond

// reading is an upstream that this controller reads.
type reading struct {
	upstream checker.Upstream
	forward  *forwarder.Forwarder
	cancel   context.CancelFunc
}

// Coordinator owns the soft state of a controller in one goroutine.
type Coordinator struct {
	cfg     Config
	inputs  chan input
	dropped atomic.Uint64

	bundle  *checker.Bundle
	members []Member
	owners  *partitioner.Partitioner
	// regions holds the owners of the index of each region with members.
	regions  map[string]*partitioner.Partitioner
	index    *indexer.Index
	readings map[string]*reading
	// behind names the peers that missed updates and must be told in full.
	behind  map[string]bool
	asked   map[uint64]*question
	nextID  uint64
	scratch []indexer.Holding
}

// New returns a Coordinator that knows of no bundle and of no other member.
func New(cfg Config) *Coordinator {
	c := &Coordinator{
		cfg:      cfg,
		inputs:   make(chan input, inputLimit),
		members:  []Member{cfg.Self},
		index:    indexer.New(cfg.Index),
		readings: make(map[string]*reading),
		behind:   make(map[string]bool),
		asked:    make(map[uint64]*question),
	}
	c.share()
	return c
}

// Run works until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case in := <-c.inputs:
			c.handle(ctx, time.Now(), in)
		case now := <-ticker.C:
			c.tick(now)
		case <-ctx.Done():
			return
		}
	}
}

func (c *Coordinator) handle(ctx context.Context, now time.Time, in input) {
	switch {
	case in.bundle != nil:
		c.bundle = in.bundle
		c.assign(ctx)
	case in.members != nil:
		c.setMembers(ctx, in.members)
	case in.event != nil:
		c.push(now, in.event)
	case in.reports != nil:
		c.advance(in.reports)
		c.spread(in.reports)
	case in.updates != nil:
		c.apply(now, in.updates)
	case in.lookup != nil:
		c.lookup(now, *in.lookup)
	case in.reply != nil:
		c.replied(*in.reply)
	case in.lost != "":
		c.behind[in.lost] = true
	case in.inspect != nil:
		in.inspect <- c.status()
	}
}

// regionMembers returns the names of the members of a region, or of all
// members where the region has none.
func (c *Coordinator) regionMembers(region string) []string {
	all := make([]string, 0, len(c.members))
	local := make([]string, 0, len(c.members))
	for _, m := range c.members {
		all = append(all, m.Node)
		if m.Region == region {
			local = append(local, m.Node)
		}
	}
	if len(local) == 0 {
		return all
	}
	return local
}

// share shares the index of each region out over its members.
func (c *Coordinator) share() {
	c.regions = make(map[string]*partitioner.Partitioner)
	for _, m := range c.members {
		if c.regions[m.Region] == nil {
			c.regions[m.Region] = partitioner.New(c.regionMembers(m.Region))
		}
	}
	c.owners = c.regions[c.cfg.Self.Region]
}

func (c *Coordinator) setMembers(ctx context.Context, members []Member) {
	if !slices.Contains(members, c.cfg.Self) {
		members = append(slices.Clone(members), c.cfg.Self)
	}
	c.members = members
	c.share()
	for node := range c.behind {
		if !slices.ContainsFunc(members, func(m Member) bool { return m.Node == node }) {
			delete(c.behind, node)
		}
	}
	c.assign(ctx)
	for _, r := range c.readings {
		r.forward.SetOwners(c.ownersFor(r.upstream))
	}
}

// ownersFor returns the owners of the index parts that an upstream's blocks
// belong to: the live controllers of its region.
func (c *Coordinator) ownersFor(u checker.Upstream) *partitioner.Partitioner {
	if u.Region == c.cfg.Self.Region {
		return c.owners
	}
	return partitioner.New(c.regionMembers(u.Region))
}

// assign starts and ends readings after a change of bundle or members.
func (c *Coordinator) assign(ctx context.Context) {
	if c.bundle == nil {
		return
	}
	mine := make(map[string]checker.Upstream)
	for _, u := range c.bundle.Upstreams {
		if u.Kind != checker.Engine {
			continue
		}
		if c.ownersFor(u).Reader(u.Name) == c.cfg.Self.Node {
			mine[u.Name] = u
		}
	}
	for name, r := range c.readings {
		if u, ok := mine[name]; !ok || u.Address != r.upstream.Address {
			c.stop(name, r)
		}
	}
	for name, u := range mine {
		if c.readings[name] == nil {
			c.start(ctx, u)
		}
	}
}

func (c *Coordinator) start(ctx context.Context, u checker.Upstream) {
	ctx, cancel := context.WithCancel(ctx)
	c.readings[u.Name] = &reading{
		upstream: u,
		forward:  forwarder.New(forwarder.Config{Upstream: u.Name, Owners: c.ownersFor(u)}),
		cancel:   cancel,
	}
	c.cfg.Log.WithField("event", "read").WithField("upstream", u.Name).Info("reading upstream")
	c.cfg.Readers.Start(ctx, u)
}

func (c *Coordinator) stop(name string, r *reading) {
	r.cancel()
	delete(c.readings, name)
	c.cfg.Log.WithField("event", "read_end").WithField("upstream", name).Info("no longer reading upstream")
}

func (c *Coordinator) push(now time.Time, e *cacheEvent) {
	if r, ok := c.readings[e.upstream]; ok {
		r.forward.Push(now, e.event)
	}
}

// advance voids what was believed of upstreams that report a new incarnation.
func (c *Coordinator) advance(reports []observer.Report) {
	for _, report := range reports {
		if r, ok := c.readings[report.Upstream]; ok {
			r.forward.Advance(report.Incarnation)
		}
	}
}

// spread hands reports to the own routers and to the other controllers, which
// hand them to theirs.
func (c *Coordinator) spread(reports []observer.Report) {
	m := messenger.Message{Reports: &messenger.Reports{Reports: reports}}
	c.cfg.Routers.Broadcast(m)
	for _, member := range c.members {
		if member != c.cfg.Self {
			c.cfg.Peers.Send(member.Node, m)
		}
	}
}

func (c *Coordinator) apply(now time.Time, updates []indexer.Update) {
	for _, u := range updates {
		c.index.Apply(now, u)
	}
}

// tick sends the updates gathered since the last tick.
func (c *Coordinator) tick(now time.Time) {
	batches := make(map[string][]indexer.Update)
	reached := c.reached()
	for _, r := range c.readings {
		for _, node := range reached {
			r.forward.Resync(node)
		}
		for _, d := range r.forward.Flush(now) {
			batches[d.Owner] = append(batches[d.Owner], d.Update)
		}
	}
	for node, updates := range batches {
		c.deliver(now, node, updates)
	}
	c.expire(now)
}

// reached takes the peers from those that are behind that can be told in full
// now. Those that cannot be reached stay behind; no update is gathered for
// them twice.
func (c *Coordinator) reached() []string {
	var nodes []string
	for node := range c.behind {
		if node == c.cfg.Self.Node || c.cfg.Peers.Connected(node) {
			nodes = append(nodes, node)
		}
	}
	for _, node := range nodes {
		delete(c.behind, node)
	}
	return nodes
}

func (c *Coordinator) deliver(now time.Time, node string, updates []indexer.Update) {
	if node == c.cfg.Self.Node {
		c.apply(now, updates)
		return
	}
	m := messenger.Message{IndexUpdates: &messenger.IndexUpdates{Updates: updates}}
	if !c.cfg.Peers.Send(node, m) {
		c.behind[node] = true
	}
}
