package coordinator

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

const (
	controllers = 3
	region      = "west"
)

// engine simulates an upstream that publishes cache events.
type engine struct {
	incarnation uint64
	// events holds the events of the current incarnation.
	events []indexer.Event
	// previousEvents holds the events of the previous incarnation.
	previousEvents []indexer.Event
	// readers holds the context of the latest reader of each node.
	readers map[*node]context.Context
}

// node is a controller in the cluster. It implements Peers, Routers and Readers for its
// coordinator.
type node struct {
	*Coordinator
	cluster *cluster
	name    string
	stop    context.CancelFunc
	stopped bool
}

// cluster connects coordinators and simulated engines in memory.
type cluster struct {
	mu      sync.Mutex
	nodes   []*node
	engines map[string]*engine
	// disconnected is true while there are no connections, so that messages cannot
	// be queued. dropMessages is true while queued messages are lost.
	disconnected, dropMessages bool
}

// newCluster starts a cluster of three controllers in one region with two engines.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{engines: make(map[string]*engine)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	b := &checker.Bundle{}
	for i := range 2 {
		name := fmt.Sprintf("e%d", i)
		b.Upstreams = append(b.Upstreams, checker.Upstream{Name: name, Kind: checker.Engine, Region: region})
		c.engines[name] = &engine{incarnation: 1, readers: make(map[*node]context.Context)}
	}
	for i := range controllers {
		n := &node{cluster: c, name: fmt.Sprintf("vm-%d", i)}
		n.Coordinator = New(Config{
			Self:    Member{Node: n.name, Region: region},
			Peers:   n,
			Routers: n,
			Readers: n,
			Log:     logrus.NewEntry(log),
		})
		c.nodes = append(c.nodes, n)
	}
	for _, n := range c.nodes {
		ctx, cancel := context.WithCancel(t.Context())
		n.stop = cancel
		go n.Run(ctx)
		n.SetMembers(c.members())
		n.SetBundle(b)
	}
	return c
}

// members returns the running nodes.
func (c *cluster) members() []Member {
	var list []Member
	for _, n := range c.nodes {
		if !n.stopped {
			list = append(list, Member{Node: n.name, Region: region})
		}
	}
	return list
}

// node returns the running node with the given name, or nil if there is none.
func (c *cluster) node(name string) *node {
	for _, n := range c.nodes {
		if n.name == name && !n.stopped {
			return n
		}
	}
	return nil
}

// Send implements Peers.
func (n *node) Send(to string, m messenger.Message) bool {
	n.cluster.mu.Lock()
	peer, disconnected, dropMessages := n.cluster.node(to), n.cluster.disconnected, n.cluster.dropMessages
	n.cluster.mu.Unlock()
	if peer == nil || disconnected {
		return false
	}
	if dropMessages {
		return true
	}
	peer.ReceiveMessage(messenger.Controller, m, func(reply messenger.Message) bool {
		n.ReceiveMessage(messenger.Controller, reply, nil)
		return true
	})
	return true
}

// Connected implements Peers.
func (n *node) Connected(to string) bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.cluster.node(to) != nil && !n.cluster.disconnected
}

// Broadcast implements Routers.
func (n *node) Broadcast(messenger.Message) {}

// Start implements Readers. It passes all events of the current incarnation to the
// node, and later events as they are published.
func (n *node) Start(ctx context.Context, u checker.Upstream) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	e := n.cluster.engines[u.Name]
	e.readers[n] = ctx
	go (&eventReplay{node: n, upstream: u.Name, events: e.events}).run()
}

// eventReplay passes events of an upstream to a node.
type eventReplay struct {
	node     *node
	upstream string
	events   []indexer.Event
}

func (r *eventReplay) run() {
	for _, e := range r.events {
		r.node.ReceiveEvent(r.upstream, e)
	}
}

// chain returns the hash chain of a prompt with the given number of blocks.
func chain(organisation, version string, blocks int) []hasher.Hash {
	scope := hasher.Scope{Organisation: organisation, Model: "m", WeightsVersion: version}
	return hasher.Chain(scope, strings.Repeat("x", blocks*hasher.BlockBytes))
}

// store adds blocks of the prompt to the cache of an engine and publishes the event.
func (c *cluster) store(s step) {
	c.mu.Lock()
	e := c.engines[s.Upstream]
	event := indexer.Event{
		Seq:            uint64(len(e.events) + 1),
		Incarnation:    e.incarnation,
		Kind:           indexer.Stored,
		Model:          "m",
		WeightsVersion: s.Version,
		Blocks:         indexer.BlocksOf(chain(s.Organisation, s.Version, s.Blocks), 0),
	}
	e.events = append(e.events, event)
	c.mu.Unlock()
	c.publish(s.Upstream, []indexer.Event{event})
}

// publish passes events of an upstream to its readers.
func (c *cluster) publish(upstream string, events []indexer.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, ctx := range c.engines[upstream].readers {
		if ctx.Err() == nil {
			go (&eventReplay{node: n, upstream: upstream, events: events}).run()
		}
	}
}

// restart starts a new incarnation of an engine with an empty cache.
func (c *cluster) restart(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.engines[upstream]
	e.previousEvents = e.events
	e.events = nil
	e.incarnation++
}

// report passes a report with the current incarnation of an engine to its readers.
func (c *cluster) report(upstream string) {
	r := observer.Report{Upstream: upstream, Incarnation: c.engines[upstream].incarnation}
	for _, n := range c.readersOf(upstream) {
		n.ReceiveReports([]observer.Report{r})
	}
}

// kill stops a node and updates the members of the others.
func (c *cluster) kill(n *node) {
	c.mu.Lock()
	n.stop()
	n.stopped = true
	members := c.members()
	c.mu.Unlock()
	for _, other := range c.nodes {
		if !other.stopped {
			other.SetMembers(members)
		}
	}
}

// readersOf returns the running nodes that read an engine.
func (c *cluster) readersOf(upstream string) []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*node
	for n, ctx := range c.engines[upstream].readers {
		if ctx.Err() == nil && !n.stopped {
			list = append(list, n)
		}
	}
	return list
}
