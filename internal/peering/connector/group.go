package connector

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"gentianstep.example/gentianstep/internal/peering/messenger"
)

const (
	// idleTimeout ends connections over which nothing was sent for that long.
	idleTimeout = time.Minute
	// dialLimit bounds the connections and probes that wait to be started.
	dialLimit = 1024
)

// GroupConfig holds what a Group is built from.
type GroupConfig struct {
	// Connector is the form of every connection; its Addresses are ignored.
	Connector Config
}

// Group connects to other controllers as messages are sent to them.
type Group struct {
	cfg    GroupConfig
	starts chan starter

	mu        sync.Mutex
	kept      map[netip.AddrPort]*kept
	byNode    map[string]*Connector
	addresses map[string]netip.AddrPort
}

// starter is something that the Group's Run has to start.
type starter interface {
	run(ctx context.Context)
}

// NewGroup returns a Group without connections.
func NewGroup(cfg GroupConfig) *Group {
	cfg.Connector = cfg.Connector.withDefaults()
	return &Group{
		cfg:       cfg,
		starts:    make(chan starter, dialLimit),
		kept:      make(map[netip.AddrPort]*kept),
		byNode:    make(map[string]*Connector),
		addresses: make(map[string]netip.AddrPort),
	}
}

// SetMembers takes the addresses of the controllers by their node names.
func (g *Group) SetMembers(addresses map[string]netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addresses = maps.Clone(addresses)
}

// Members returns the number of members with this one.
func (g *Group) Members() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.addresses) + 1
}

// Send queues m for the controller of that node and reports whether it was
// queued. Without a connection one is opened for the next message.
func (g *Group) Send(node string, m messenger.Message) bool {
	g.mu.Lock()
	c := g.byNode[node]
	address, known := g.addresses[node]
	if known {
		g.keep(address)
	}
	g.mu.Unlock()
	return c != nil && c.Send(m)
}

// Broadcast sends m to every member that can be reached.
func (g *Group) Broadcast(m messenger.Message) {
	g.mu.Lock()
	nodes := slices.Collect(maps.Keys(g.addresses))
	g.mu.Unlock()
	for _, node := range nodes {
		g.Send(node, m)
	}
}

// Connected reports whether there is a connection to the controller of that
// node; without one it is opened.
func (g *Group) Connected(node string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.byNode[node]
	if address, known := g.addresses[node]; known && c == nil {
		g.keep(address)
	}
	return c != nil
}

// SendTo sends m to the controller at address. Without a connection one is
// opened, and m is held for a short while.
func (g *Group) SendTo(address netip.AddrPort, m messenger.Message) {
	g.mu.Lock()
	k := g.keep(address)
	g.mu.Unlock()
	if k != nil {
		k.connector.sendOrHold(m)
	}
}

// Probe sends m to the controller at address over a connection of its own and
// hands on the answer.
func (g *Group) Probe(address netip.AddrPort, m messenger.Message) {
	g.start(&probe{group: g, address: address, message: m})
}

// Run keeps the connections until ctx ends, those to addresses always.
func (g *Group) Run(ctx context.Context, addresses []netip.AddrPort) {
	var wg sync.WaitGroup
	defer wg.Wait()
	g.mu.Lock()
	for _, address := range addresses {
		if k := g.keep(address); k != nil {
			k.always = true
		}
	}
	g.mu.Unlock()
	ticker := time.NewTicker(idleTimeout / 4)
	defer ticker.Stop()
	for {
		select {
		case s := <-g.starts:
			wg.Go(func() { s.run(ctx) })
		case now := <-ticker.C:
			g.prune(now)
		case <-ctx.Done():
			return
		}
	}
}

// keep returns the connection to address, opened where there is none. It
// returns nil where too many wait. The caller holds the mutex.
func (g *Group) keep(address netip.AddrPort) *kept {
	k, ok := g.kept[address]
	if !ok {
		k = &kept{connector: g.connectorTo(address), ended: make(chan struct{})}
		if !g.start(k) {
			return nil
		}
		g.kept[address] = k
	}
	k.usedAt = time.Now()
	return k
}

func (g *Group) start(s starter) bool {
	select {
	case g.starts <- s:
		return true
	default:
		return false
	}
}

func (g *Group) connectorTo(address netip.AddrPort) *Connector {
	cfg := g.cfg.Connector
	cfg.Addresses = []netip.AddrPort{address}
	c := New(cfg)
	c.cfg.OnUp = func(peer messenger.Hello) { g.up(peer, c) }
	c.cfg.OnDown = func(peer messenger.Hello) { g.down(peer, c) }
	return c
}

func (g *Group) prune(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for address, k := range g.kept {
		if !k.always && now.Sub(k.usedAt) > idleTimeout {
			close(k.ended)
			delete(g.kept, address)
		}
	}
}

func (g *Group) up(peer messenger.Hello, c *Connector) {
	g.mu.Lock()
	g.byNode[peer.Node] = c
	g.mu.Unlock()
	g.cfg.Connector.OnUp(peer)
}

func (g *Group) down(peer messenger.Hello, c *Connector) {
	g.mu.Lock()
	if g.byNode[peer.Node] == c {
		delete(g.byNode, peer.Node)
	}
	g.mu.Unlock()
	g.cfg.Connector.OnDown(peer)
}
