// Package piper joins clients and servers of a test by pipes, whose
// connections can be refused, cut and lost, so that tests of failures run in
// virtual time.
package piper

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// backlog bounds the connections that a server has not yet accepted.
const backlog = 64

// Network is a set of addresses with their servers. Connections to an address
// without a server are refused.
type Network struct {
	mu    sync.Mutex
	hosts map[string]*Host
	read  int
}

// New returns a Network without servers.
func New() *Network { return &Network{hosts: make(map[string]*Host)} }

// Serve runs a server at address until it is stopped.
func (n *Network) Serve(address string, handler http.Handler) *Host {
	h := &Host{incoming: make(chan net.Conn, backlog), cutAfter: never}
	h.server = &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	n.mu.Lock()
	n.hosts[address] = h
	n.mu.Unlock()
	go h.run()
	return h
}

// Dial opens a connection to address.
func (n *Network) Dial(_ context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hosts[address]
	if h == nil {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	l := &link{Conn: near, network: n, silent: h.frozen, left: h.cutAfter, closed: make(chan struct{})}
	h.links = append(h.links, l)
	h.incoming <- far
	return l, nil
}

// Host returns the server at address, nil where there is none.
func (n *Network) Host(address string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[address]
}

// Stop ends the server at address and its connections.
func (n *Network) Stop(address string) {
	n.mu.Lock()
	h := n.hosts[address]
	delete(n.hosts, address)
	n.mu.Unlock()
	if h == nil {
		return
	}
	close(h.incoming)
	_ = h.server.Close()
	for _, l := range h.links {
		_ = l.Close()
	}
}

// Lose makes the open connections to address silent for good. With frozen set,
// later ones are silent too.
func (n *Network) Lose(address string, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hosts[address]
	h.frozen = frozen
	for _, l := range h.links {
		l.lose()
	}
}

// Cut breaks each new connection to address after so many written bytes.
func (n *Network) Cut(address string, after int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[address].cutAfter = after
}

// BytesRead returns what the dialling sides have read over all connections.
func (n *Network) BytesRead() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.read
}

func (n *Network) addRead(bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.read += bytes
}

// Close stops every server.
func (n *Network) Close() {
	n.mu.Lock()
	addresses := make([]string, 0, len(n.hosts))
	for address := range n.hosts {
		addresses = append(addresses, address)
	}
	n.mu.Unlock()
	for _, address := range addresses {
		n.Stop(address)
	}
}
