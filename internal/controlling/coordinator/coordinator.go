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

// flushInterval is the interval at which batches of index updates are sent.
const flushInterval = 100 * time.Millisecond

// upstreamReader is a running reader of an upstream that is assigned to this
// controller. The forwarder converts the cache events into index updates.
type upstreamReader struct {
	upstream  checker.Upstream
	forwarder *forwarder.Forwarder
	cancel    context.CancelFunc
}

// Coordinator maintains the soft state of a controller. Run is the only goroutine that
// uses the state; the other methods queue inputs for it.
type Coordinator struct {
	cfg    Config
	inputs chan input
	// dropped is the number of inputs dropped because the queue was full.
	dropped atomic.Uint64

	bundle  *checker.Bundle
	members []Member
	// owners assigns the index of this controller's region to its members.
	owners *partitioner.Partitioner
	// regionOwners assigns the index of each region with members to these members.
	regionOwners map[string]*partitioner.Partitioner
	index        *indexer.Index
	// readers holds the running readers by upstream name.
	readers map[string]*upstreamReader
	// resyncPending holds the node names of the owners that may have missed updates
	// and need a full update.
	resyncPending map[string]bool
	// pending holds the pending lookups by the ID under which they were forwarded.
	pending map[uint64]*pendingLookup
	// nextID is the ID of the last forwarded lookup.
	nextID uint64
	// scratch is reused for the results of index lookups.
	scratch []indexer.Holding
}

// New returns a Coordinator without a bundle and with this controller as the only
// member.
func New(cfg Config) *Coordinator {
	c := &Coordinator{
		cfg:           cfg,
		inputs:        make(chan input, inputQueueSize),
		members:       []Member{cfg.Self},
		index:         indexer.New(cfg.Index),
		readers:       make(map[string]*upstreamReader),
		resyncPending: make(map[string]bool),
		pending:       make(map[uint64]*pendingLookup),
	}
	c.updateOwners()
	return c
}

// Run handles the inputs and sends index updates until ctx is cancelled.
func (c *Coordinator) Run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case in := <-c.inputs:
			c.handle(ctx, time.Now(), in)
		case now := <-ticker.C:
			c.flush(now)
		case <-ctx.Done():
			return
		}
	}
}

func (c *Coordinator) handle(ctx context.Context, now time.Time, in input) {
	switch {
	case in.bundle != nil:
		c.bundle = in.bundle
		c.assignUpstreams(ctx)
	case in.members != nil:
		c.applyMembers(ctx, in.members)
	case in.event != nil:
		c.pushEvent(now, in.event)
	case in.reports != nil:
		c.advanceIncarnations(in.reports)
		c.broadcastReports(in.reports)
	case in.updates != nil:
		c.applyUpdates(now, in.updates)
	case in.lookup != nil:
		c.handleLookup(now, *in.lookup)
	case in.reply != nil:
		c.handleReply(*in.reply)
	case in.resyncPeer != "":
		c.resyncPending[in.resyncPeer] = true
	case in.status != nil:
		in.status <- c.snapshot()
	}
}

// regionMembers returns the node names of the members of a region, or of all members
// if the region has none.
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

// updateOwners distributes the index of each region over its members.
func (c *Coordinator) updateOwners() {
	c.regionOwners = make(map[string]*partitioner.Partitioner)
	for _, m := range c.members {
		if c.regionOwners[m.Region] == nil {
			c.regionOwners[m.Region] = partitioner.New(c.regionMembers(m.Region))
		}
	}
	c.owners = c.regionOwners[c.cfg.Self.Region]
}

// applyMembers replaces the list of members, reassigns the upstreams and sends full
// updates to the owners that gained partitions.
func (c *Coordinator) applyMembers(ctx context.Context, members []Member) {
	if !slices.Contains(members, c.cfg.Self) {
		members = append(slices.Clone(members), c.cfg.Self)
	}
	c.members = members
	c.updateOwners()
	for node := range c.resyncPending {
		if !slices.ContainsFunc(members, func(m Member) bool { return m.Node == node }) {
			delete(c.resyncPending, node)
		}
	}
	c.assignUpstreams(ctx)
	for _, r := range c.readers {
		r.forwarder.SetOwners(c.ownersFor(r.upstream))
	}
}

// ownersFor returns the assignment of the index that holds an upstream's blocks. Its
// owners are the live controllers in the upstream's region, or all live controllers if
// the region has none.
func (c *Coordinator) ownersFor(u checker.Upstream) *partitioner.Partitioner {
	if u.Region == c.cfg.Self.Region {
		return c.owners
	}
	return partitioner.New(c.regionMembers(u.Region))
}

// assignUpstreams starts and stops readers after a change of the bundle or the members,
// so that this controller reads the engines assigned to it at their current addresses.
func (c *Coordinator) assignUpstreams(ctx context.Context) {
	if c.bundle == nil {
		return
	}
	assigned := make(map[string]checker.Upstream)
	for _, u := range c.bundle.Upstreams {
		if u.Kind != checker.Engine {
			continue
		}
		if c.ownersFor(u).Reader(u.Name) == c.cfg.Self.Node {
			assigned[u.Name] = u
		}
	}
	for name, r := range c.readers {
		if u, ok := assigned[name]; !ok || u.Address != r.upstream.Address {
			c.stopReader(name, r)
		}
	}
	for name, u := range assigned {
		if c.readers[name] == nil {
			c.startReader(ctx, u)
		}
	}
}

func (c *Coordinator) startReader(ctx context.Context, u checker.Upstream) {
	ctx, cancel := context.WithCancel(ctx)
	c.readers[u.Name] = &upstreamReader{
		upstream:  u,
		forwarder: forwarder.New(forwarder.Config{Upstream: u.Name, Owners: c.ownersFor(u)}),
		cancel:    cancel,
	}
	c.cfg.Log.WithField("event", "read").WithField("upstream", u.Name).Info("started reading cache events and reports of upstream")
	c.cfg.Readers.Start(ctx, u)
}

func (c *Coordinator) stopReader(name string, r *upstreamReader) {
	r.cancel()
	delete(c.readers, name)
	c.cfg.Log.WithField("event", "read_end").WithField("upstream", name).Info("stopped reading cache events and reports of upstream")
}

// pushEvent passes a cache event to the forwarder of its upstream. Events of upstreams
// that this controller no longer reads are ignored.
func (c *Coordinator) pushEvent(now time.Time, e *cacheEvent) {
	if r, ok := c.readers[e.upstream]; ok {
		r.forwarder.Push(now, e.event)
	}
}

// advanceIncarnations discards the index state of upstreams that report a newer
// incarnation.
func (c *Coordinator) advanceIncarnations(reports []observer.Report) {
	for _, report := range reports {
		if r, ok := c.readers[report.Upstream]; ok {
			r.forwarder.Advance(report.Incarnation)
		}
	}
}

// broadcastReports sends reports to the connected routers and to the other controllers,
// which forward them to their routers.
func (c *Coordinator) broadcastReports(reports []observer.Report) {
	m := messenger.Message{Reports: &messenger.Reports{Reports: reports}}
	c.cfg.Routers.Broadcast(m)
	for _, member := range c.members {
		if member != c.cfg.Self {
			c.cfg.Peers.Send(member.Node, m)
		}
	}
}

// applyUpdates applies updates to this controller's partition of the index.
func (c *Coordinator) applyUpdates(now time.Time, updates []indexer.Update) {
	for _, u := range updates {
		c.index.Apply(now, u)
	}
}

// flush sends the updates collected since the last flush, and full updates to the
// reachable owners that need one. It also expires pending lookups.
func (c *Coordinator) flush(now time.Time) {
	batches := make(map[string][]indexer.Update)
	resyncNodes := c.dequeueResyncs()
	for _, r := range c.readers {
		for _, node := range resyncNodes {
			r.forwarder.Resync(node)
		}
		for _, d := range r.forwarder.Flush(now) {
			batches[d.Owner] = append(batches[d.Owner], d.Update)
		}
	}
	for node, updates := range batches {
		c.sendUpdates(now, node, updates)
	}
	c.expireLookups(now)
}

// dequeueResyncs removes and returns the owners with a pending resynchronisation that
// are reachable. The others stay pending, so that no full updates are built for an
// owner that cannot receive them.
func (c *Coordinator) dequeueResyncs() []string {
	var nodes []string
	for node := range c.resyncPending {
		if node == c.cfg.Self.Node || c.cfg.Peers.Connected(node) {
			nodes = append(nodes, node)
		}
	}
	for _, node := range nodes {
		delete(c.resyncPending, node)
	}
	return nodes
}

// sendUpdates sends updates to an owner, or applies them if this controller is the
// owner. If they cannot be queued, the owner needs a full update later.
func (c *Coordinator) sendUpdates(now time.Time, node string, updates []indexer.Update) {
	if node == c.cfg.Self.Node {
		c.applyUpdates(now, updates)
		return
	}
	m := messenger.Message{IndexUpdates: &messenger.IndexUpdates{Updates: updates}}
	if !c.cfg.Peers.Send(node, m) {
		c.resyncPending[node] = true
	}
}
