package dispatcher_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
)

// network joins clients and servers of one test by pipes, so that it runs in
// virtual time.
type network struct {
	mu    sync.Mutex
	hosts map[string]*host
}

// host is one address with its server and the connections to it.
type host struct {
	incoming chan net.Conn
	server   *http.Server
	conns    []*link
	frozen   bool
	// cutAfter breaks each new connection after that many bytes, -1 never.
	cutAfter int
}

// link is a connection that can go silent.
type link struct {
	net.Conn
	mu     sync.Mutex
	silent bool
	left   int
	closed chan struct{}
	once   sync.Once
}

func newNetwork() *network { return &network{hosts: make(map[string]*host)} }

// Accept implements net.Listener.
func (h *host) Accept() (net.Conn, error) {
	conn, ok := <-h.incoming
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Close implements net.Listener.
func (h *host) Close() error { return nil }

// Addr implements net.Listener.
func (h *host) Addr() net.Addr { return &net.TCPAddr{} }

func (n *network) serve(address string, handler http.Handler) {
	h := &host{incoming: make(chan net.Conn, 64), server: &http.Server{Handler: handler}, cutAfter: -1}
	n.mu.Lock()
	n.hosts[address] = h
	n.mu.Unlock()
	go func() { _ = h.server.Serve(h) }()
}

func (n *network) dial(_ context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hosts[address]
	if h == nil {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	l := &link{Conn: near, silent: h.frozen, left: h.cutAfter, closed: make(chan struct{})}
	h.conns = append(h.conns, l)
	h.incoming <- far
	return l, nil
}

// stop ends the server of an address, its connections and the address.
func (n *network) stop(address string) {
	n.mu.Lock()
	h := n.hosts[address]
	delete(n.hosts, address)
	n.mu.Unlock()
	if h == nil {
		return
	}
	close(h.incoming)
	_ = h.server.Close()
	for _, l := range h.conns {
		_ = l.Close()
	}
}

// silence loses track of the open connections to an address; frozen loses the
// later ones too.
func (n *network) silence(address string, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hosts[address]
	h.frozen = frozen
	for _, l := range h.conns {
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
	}
}

func (n *network) close() {
	n.mu.Lock()
	addresses := make([]string, 0, len(n.hosts))
	for address := range n.hosts {
		addresses = append(addresses, address)
	}
	n.mu.Unlock()
	for _, address := range addresses {
		n.stop(address)
	}
}

func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

// Write implements net.Conn.
func (l *link) Write(data []byte) (int, error) {
	if l.isSilent() {
		return len(data), nil
	}
	if l.left < 0 || len(data) <= l.left {
		return l.Conn.Write(data)
	}
	n, _ := l.Conn.Write(data[:l.left])
	_ = l.Close()
	return n, syscall.ECONNRESET
}

// Read implements net.Conn.
func (l *link) Read(data []byte) (int, error) {
	n, err := l.Conn.Read(data)
	if !l.isSilent() {
		return n, err
	}
	<-l.closed
	return 0, net.ErrClosed
}

// Close implements net.Conn.
func (l *link) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Conn.Close()
}
