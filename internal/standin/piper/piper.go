// Package piper stands in for the network between a client and a server in
// one process, so that both can run in virtual time.
package piper

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// headerTimeout bounds the wait for the headers of a request.
const headerTimeout = time.Minute

// Pipe carries HTTP over connections in memory.
type Pipe struct {
	server    *http.Server
	transport *http.Transport
	accepted  chan net.Conn
	closed    chan struct{}
	once      sync.Once

	mu   sync.Mutex
	ends []*end
}

// New serves handler until Stop.
func New(handler http.Handler) *Pipe {
	p := &Pipe{accepted: make(chan net.Conn), closed: make(chan struct{})}
	p.server = &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	p.transport = &http.Transport{DialContext: p.dial}
	go p.run()
	return p
}

func (p *Pipe) run() { _ = p.server.Serve(p) }

// Client returns a client of the server; it reaches it under any address.
func (p *Pipe) Client() *http.Client { return &http.Client{Transport: p.transport} }

// Silence drops what is sent from now on over the connections that are open.
// New connections work.
func (p *Pipe) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.ends {
		e.silence()
	}
	p.ends = nil
}

func (p *Pipe) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	client, server := &end{Conn: near}, &end{Conn: far}
	p.mu.Lock()
	p.ends = append(p.ends, client, server)
	p.mu.Unlock()
	select {
	case p.accepted <- server:
		return client, nil
	case <-p.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (p *Pipe) Accept() (net.Conn, error) {
	select {
	case conn := <-p.accepted:
		return conn, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (p *Pipe) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

// Stop ends the server and all connections.
func (p *Pipe) Stop() {
	_ = p.server.Close()
	p.transport.CloseIdleConnections()
}

// Addr implements net.Listener.
func (p *Pipe) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }
