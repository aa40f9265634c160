package connector

import (
	"context"
	"net/netip"
	"sync"

	"gentianstep.example/gentianstep/internal/peering/messenger"
)

// GroupConfig holds what a Group is built from.
type GroupConfig struct {
	// Connector is the form of every connection; its Addresses are ignored.
	Connector Config
	// OnMembers is told of the connected controllers after every change.
	OnMembers func([]messenger.Hello)
}

// Group keeps a connection to each of a set of controllers.
type Group struct {
	cfg GroupConfig

	mu     sync.Mutex
	byNode map[string]*Connector
	hellos map[string]messenger.Hello
}

// NewGroup returns a Group without connections.
func NewGroup(cfg GroupConfig) *Group {
	cfg.Connector = cfg.Connector.withDefaults()
	return &Group{
		cfg:    cfg,
		byNode: make(map[string]*Connector),
		hellos: make(map[string]messenger.Hello),
	}
}

// Send queues m for the controller of that node and reports whether it was
// queued.
func (g *Group) Send(node string, m messenger.Message) bool {
	g.mu.Lock()
	c := g.byNode[node]
	g.mu.Unlock()
	return c != nil && c.Send(m)
}

// Add returns a connector to the controller at address, which the caller runs.
func (g *Group) Add(address netip.AddrPort) *Connector {
	cfg := g.cfg.Connector
	cfg.Addresses = []netip.AddrPort{address}
	c := New(cfg)
	c.cfg.OnUp = func(peer messenger.Hello) { g.up(peer, c) }
	c.cfg.OnDown = func(peer messenger.Hello) { g.down(peer, c) }
	return c
}

// Run keeps connections to all addresses until ctx ends.
func (g *Group) Run(ctx context.Context, addresses []netip.AddrPort) {
	var wg sync.WaitGroup
	for _, address := range addresses {
		c := g.Add(address)
		wg.Go(func() { c.Run(ctx) })
	}
	wg.Wait()
}

func (g *Group) up(peer messenger.Hello, c *Connector) {
	g.mu.Lock()
	g.byNode[peer.Node] = c
	g.hellos[peer.Node] = peer
	g.mu.Unlock()
	g.cfg.Connector.OnUp(peer)
	g.tell()
}

func (g *Group) down(peer messenger.Hello, c *Connector) {
	g.mu.Lock()
	if g.byNode[peer.Node] == c {
		delete(g.byNode, peer.Node)
		delete(g.hellos, peer.Node)
	}
	g.mu.Unlock()
	g.cfg.Connector.OnDown(peer)
	g.tell()
}

func (g *Group) tell() {
	g.mu.Lock()
	hellos := make([]messenger.Hello, 0, len(g.hellos))
	for _, hello := range g.hellos {
		hellos = append(hellos, hello)
	}
	g.mu.Unlock()
	g.cfg.OnMembers(hellos)
}
