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
	// idleTimeout closes a connection over which no message was sent for this long.
	idleTimeout = time.Minute
	// queueSize bounds the connections and probes that Run has not started yet.
	queueSize = 1024
)

// GroupConfig configures a Group.
type GroupConfig struct {
	// Connector is the template for all connections; its Addresses are ignored.
	Connector Config
}

// Group maintains connections to other controllers. They are opened on demand and
// closed when idle.
type Group struct {
	cfg   GroupConfig
	queue chan runner

	mu          sync.Mutex
	connections map[netip.AddrPort]*groupConnection
	// connected holds the connectors that have a connection, by the peer's node name.
	connected map[string]*Connector
	addresses map[string]netip.AddrPort
}

// runner is a connection or probe that Run executes in a goroutine.
type runner interface {
	run(ctx context.Context)
}

// NewGroup returns a Group without connections.
func NewGroup(cfg GroupConfig) *Group {
	cfg.Connector = cfg.Connector.withDefaults()
	return &Group{
		cfg:         cfg,
		queue:       make(chan runner, queueSize),
		connections: make(map[netip.AddrPort]*groupConnection),
		connected:   make(map[string]*Connector),
		addresses:   make(map[string]netip.AddrPort),
	}
}

// SetMembers sets the addresses of the other controllers, by node name.
func (g *Group) SetMembers(addresses map[string]netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addresses = maps.Clone(addresses)
}

// MemberCount returns the number of controllers, including this one.
func (g *Group) MemberCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.addresses) + 1
}

// Send queues m for the controller of a node and reports whether it was queued. If
// there is no connection, m is dropped and a connection is opened for later messages.
func (g *Group) Send(node string, m messenger.Message) bool {
	g.mu.Lock()
	c := g.connected[node]
	address, known := g.addresses[node]
	if known {
		g.ensureConnection(address)
	}
	g.mu.Unlock()
	return c != nil && c.Send(m)
}

// Broadcast sends m to every controller that is connected, and opens connections to
// the others.
func (g *Group) Broadcast(m messenger.Message) {
	g.mu.Lock()
	nodes := slices.Collect(maps.Keys(g.addresses))
	g.mu.Unlock()
	for _, node := range nodes {
		g.Send(node, m)
	}
}

// Connected reports whether the controller of a node is connected. If not, a
// connection is opened.
func (g *Group) Connected(node string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.connected[node]
	if address, known := g.addresses[node]; known && c == nil {
		g.ensureConnection(address)
	}
	return c != nil
}

// SendTo sends m to the controller at address. If there is no connection, one is
// opened and m is held for up to holdTimeout.
func (g *Group) SendTo(address netip.AddrPort, m messenger.Message) {
	g.mu.Lock()
	c := g.ensureConnection(address)
	g.mu.Unlock()
	if c != nil {
		c.connector.sendOrHold(m)
	}
}

// Probe sends m to the controller at address over a new connection and passes the
// response to OnMessage.
func (g *Group) Probe(address netip.AddrPort, m messenger.Message) {
	g.enqueue(&probe{group: g, address: address, message: m})
}

// Run maintains the connections until ctx is done. Those to addresses are opened at
// once and never closed as idle.
func (g *Group) Run(ctx context.Context, addresses []netip.AddrPort) {
	var wg sync.WaitGroup
	defer wg.Wait()
	g.mu.Lock()
	for _, address := range addresses {
		if c := g.ensureConnection(address); c != nil {
			c.permanent = true
		}
	}
	g.mu.Unlock()
	ticker := time.NewTicker(idleTimeout / 4)
	defer ticker.Stop()
	for {
		select {
		case r := <-g.queue:
			wg.Go(func() { r.run(ctx) })
		case now := <-ticker.C:
			g.closeIdle(now)
		case <-ctx.Done():
			return
		}
	}
}

// ensureConnection returns the connection to address and marks it as used. If there
// is none, it is opened; the result is nil if the queue is full. The caller must hold
// g.mu.
func (g *Group) ensureConnection(address netip.AddrPort) *groupConnection {
	c, ok := g.connections[address]
	if !ok {
		c = &groupConnection{connector: g.newConnector(address), idle: make(chan struct{})}
		if !g.enqueue(c) {
			return nil
		}
		g.connections[address] = c
	}
	c.usedAt = time.Now()
	return c
}

// enqueue queues r for Run and reports whether there was room.
func (g *Group) enqueue(r runner) bool {
	select {
	case g.queue <- r:
		return true
	default:
		return false
	}
}

func (g *Group) newConnector(address netip.AddrPort) *Connector {
	cfg := g.cfg.Connector
	cfg.Addresses = []netip.AddrPort{address}
	c := New(cfg)
	c.cfg.OnConnect = func(peer messenger.Hello) { g.handleConnect(peer, c) }
	c.cfg.OnDisconnect = func(peer messenger.Hello) { g.handleDisconnect(peer, c) }
	return c
}

// closeIdle closes the connections that were not used within idleTimeout.
func (g *Group) closeIdle(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for address, c := range g.connections {
		if !c.permanent && now.Sub(c.usedAt) > idleTimeout {
			close(c.idle)
			delete(g.connections, address)
		}
	}
}

func (g *Group) handleConnect(peer messenger.Hello, c *Connector) {
	g.mu.Lock()
	g.connected[peer.Node] = c
	g.mu.Unlock()
	g.cfg.Connector.OnConnect(peer)
}

// handleDisconnect removes c, unless a newer connection of the peer has replaced it.
func (g *Group) handleDisconnect(peer messenger.Hello, c *Connector) {
	g.mu.Lock()
	if g.connected[peer.Node] == c {
		delete(g.connected, peer.Node)
	}
	g.mu.Unlock()
	g.cfg.Connector.OnDisconnect(peer)
}
