// Package piper connects HTTP clients and servers of a test through in-memory
// pipes. It can inject network faults: refused, reset and silent connections.
// Pipes, unlike sockets, allow tests to run in virtual time.
package piper

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// backlog is the maximum number of connections that a server has not accepted
	// yet.
	backlog = 64
	// headerTimeout is when a server closes a connection without a request. It is
	// longer than tests last.
	headerTimeout = 24 * time.Hour
)

// Network maps addresses to servers. Connections to an address without a server
// are refused.
type Network struct {
	mu        sync.Mutex
	hosts     map[string]*Host
	bytesRead int
}

// New returns a Network without servers.
func New() *Network { return &Network{hosts: make(map[string]*Host)} }

// Serve starts a server for handler at address. It runs until Stop or Close.
func (n *Network) Serve(address string, handler http.Handler) *Host {
	h := &Host{incoming: make(chan net.Conn, backlog), cutAfter: neverCut}
	h.server = &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	n.mu.Lock()
	n.hosts[address] = h
	n.mu.Unlock()
	go h.serve()
	return h
}

// Dial opens a connection to address. It has the signature of
// http.Transport.DialContext.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	if err := n.waitForOpening(ctx, address); err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hosts[address]
	if h == nil || h.refuses {
		return nil, syscall.ECONNREFUSED
	}
	clientSide, serverSide := net.Pipe()
	c := &clientConn{Conn: clientSide, network: n, silent: h.silent, writeLimit: h.cutAfter, closed: make(chan struct{})}
	c.setDelay(h.delay)
	h.clientConns = append(h.clientConns, c)
	h.serverConns = append(h.serverConns, serverSide)
	h.incoming <- serverSide
	return c, nil
}

// Host returns the server at address, or nil if there is none.
func (n *Network) Host(address string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[address]
}

// Stop shuts down the server at address, if any, and closes its connections.
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
	for _, c := range h.clientConns {
		_ = c.Close()
	}
}

// Refuse makes the server at address refuse new connections. Open ones stay.
func (n *Network) Refuse(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[address].refuses = true
}

// Crash closes all connections to address from the server's side. If restarted is true, the
// server accepts new ones right away, and refuses them otherwise.
func (n *Network) Crash(address string, restarted bool) { n.CrashBut(address, restarted, nil) }

// CrashBut does the same, but leaves a connection open, whose server side it gets.
func (n *Network) CrashBut(address string, restarted bool, open net.Conn) {
	n.mu.Lock()
	h := n.hosts[address]
	h.refuses = !restarted
	conns := h.serverConns
	h.serverConns = nil
	n.mu.Unlock()
	for _, c := range conns {
		if c != open {
			_ = c.Close()
		}
	}
}

// Lose makes the open connections to address silent for good: writes succeed but
// are dropped, and reads block until the connection is closed. If frozen is set,
// later connections are silent too.
func (n *Network) Lose(address string, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hosts[address]
	h.silent = frozen
	for _, c := range h.clientConns {
		c.makeSilent()
	}
}

// Cut limits the size of each write on new connections to address. A write of
// more than after bytes is truncated, closes the connection and fails with
// ECONNRESET.
func (n *Network) Cut(address string, after int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[address].cutAfter = after
}

// BytesRead returns the number of bytes that clients have read on all connections.
func (n *Network) BytesRead() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytesRead
}

func (n *Network) addBytesRead(count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytesRead += count
}

// Close shuts down all servers and closes their connections.
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
