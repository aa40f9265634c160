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

// engine is an upstream with its journal of cache events.
type engine struct {
	incarnation uint64
	journal     []indexer.Event
	dead        []indexer.Event
	readers     map[*node]context.Context
}

// node is one coordinator of a group.
type node struct {
	*Coordinator
	group *group
	name  string
	stop  context.CancelFunc
	ended bool
}

// group joins coordinators in memory.
type group struct {
	mu      sync.Mutex
	nodes   []*node
	engines map[string]*engine
	// cut is true where there are no connections, losing where messages on
	// them vanish.
	cut, losing bool
}

func newGroup(t *testing.T) *group {
	t.Helper()
	g := &group{engines: make(map[string]*engine)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	b := &checker.Bundle{}
	for i := range 2 {
		name := fmt.Sprintf("e%d", i)
		b.Upstreams = append(b.Upstreams, checker.Upstream{Name: name, Kind: checker.Engine, Region: region})
		g.engines[name] = &engine{incarnation: 1, readers: make(map[*node]context.Context)}
	}
	for i := range controllers {
		n := &node{group: g, name: fmt.Sprintf("vm-%d", i)}
		n.Coordinator = New(Config{
			Self:    Member{Node: n.name, Region: region},
			Peers:   n,
			Routers: n,
			Readers: n,
			Log:     logrus.NewEntry(log),
		})
		g.nodes = append(g.nodes, n)
	}
	for _, n := range g.nodes {
		ctx, cancel := context.WithCancel(t.Context())
		n.stop = cancel
		go n.Run(ctx)
		n.Members(g.members())
		n.Bundle(b)
	}
	return g
}

func (g *group) members() []Member {
	var list []Member
	for _, n := range g.nodes {
		if !n.ended {
			list = append(list, Member{Node: n.name, Region: region})
		}
	}
	return list
}

func (g *group) node(name string) *node {
	for _, n := range g.nodes {
		if n.name == name && !n.ended {
			return n
		}
	}
	return nil
}

// Send implements Peers.
func (n *node) Send(to string, m messenger.Message) bool {
	n.group.mu.Lock()
	peer, cut, losing := n.group.node(to), n.group.cut, n.group.losing
	n.group.mu.Unlock()
	if peer == nil || cut {
		return false
	}
	if losing {
		return true
	}
	peer.Message(messenger.Controller, m, func(answer messenger.Message) bool {
		n.Message(messenger.Controller, answer, nil)
		return true
	})
	return true
}

// Connected implements Peers.
func (n *node) Connected(to string) bool {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	return n.group.node(to) != nil && !n.group.cut
}

// Broadcast implements Routers.
func (n *node) Broadcast(messenger.Message) {}

// Start implements Readers: it reads the journal from its begin and follows it.
func (n *node) Start(ctx context.Context, u checker.Upstream) {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	e := n.group.engines[u.Name]
	e.readers[n] = ctx
	go (&replay{node: n, upstream: u.Name, events: e.journal}).run()
}

// replay hands events to a node.
type replay struct {
	node     *node
	upstream string
	events   []indexer.Event
}

func (r *replay) run() {
	for _, e := range r.events {
		r.node.Event(r.upstream, e)
	}
}

// chain returns the blocks of one long prompt.
func chain(organisation, version string, blocks int) []hasher.Hash {
	scope := hasher.Scope{Organisation: organisation, Model: "m", WeightsVersion: version}
	return hasher.Chain(scope, strings.Repeat("x", blocks*hasher.BlockBytes))
}

// store lets an engine hold blocks of the prompt.
func (g *group) store(s step) {
	g.mu.Lock()
	e := g.engines[s.Upstream]
	event := indexer.Event{
		Seq:            uint64(len(e.journal) + 1),
		Incarnation:    e.incarnation,
		Kind:           indexer.Stored,
		Model:          "m",
		WeightsVersion: s.Version,
		Blocks:         indexer.BlocksOf(chain(s.Organisation, s.Version, s.Blocks), 0),
	}
	e.journal = append(e.journal, event)
	g.mu.Unlock()
	g.publish(s.Upstream, []indexer.Event{event})
}

func (g *group) publish(upstream string, events []indexer.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for n, ctx := range g.engines[upstream].readers {
		if ctx.Err() == nil {
			go (&replay{node: n, upstream: upstream, events: events}).run()
		}
	}
}

// restart ends an engine's cache and begins a new incarnation.
func (g *group) restart(upstream string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.engines[upstream]
	e.dead = e.journal
	e.journal = nil
	e.incarnation++
}

// report tells the readers of an engine what it reports of itself.
func (g *group) report(upstream string) {
	r := observer.Report{Upstream: upstream, Incarnation: g.engines[upstream].incarnation}
	for _, n := range g.readersOf(upstream) {
		n.Reports([]observer.Report{r})
	}
}

// kill ends a coordinator; the others hear of it.
func (g *group) kill(n *node) {
	g.mu.Lock()
	n.stop()
	n.ended = true
	members := g.members()
	g.mu.Unlock()
	for _, other := range g.nodes {
		if !other.ended {
			other.Members(members)
		}
	}
}

// readersOf returns the controllers that read an engine.
func (g *group) readersOf(upstream string) []*node {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []*node
	for n, ctx := range g.engines[upstream].readers {
		if ctx.Err() == nil && !n.ended {
			list = append(list, n)
		}
	}
	return list
}
