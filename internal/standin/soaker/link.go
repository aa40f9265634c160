package soaker

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Effect is a fault of a link.
type Effect string

// Effects of links.
const (
	// Delayed delivers data after linkDelay.
	Delayed Effect = "delayed"
	// RequestsHeld delivers no data to the server until the end of the effect.
	RequestsHeld Effect = "requests_held"
	// ResponsesHeld delivers no data to the client until the end of the effect.
	ResponsesHeld Effect = "responses_held"
	// Silent delivers no data in either direction.
	Silent Effect = "silent"
	// Reset resets the open connections once.
	Reset Effect = "reset"
	// Cut resets the open connections and all new ones.
	Cut Effect = "cut"
)

// Effects lists all effects.
func Effects() []Effect { return []Effect{Delayed, RequestsHeld, ResponsesHeld, Silent, Reset, Cut} }

const (
	linkDelay   = 60 * time.Millisecond
	linkBuffer  = 16 << 10
	dialTimeout = time.Second
)

// Link forwards TCP connections to a server. Effects may overlap.
type Link struct {
	address netip.AddrPort
	server  netip.AddrPort

	mu sync.Mutex
	// listener is nil while the link refuses connections.
	listener net.Listener
	// effects counts the effects in force.
	effects map[Effect]int
	// changed is closed and replaced when effects change.
	changed chan struct{}
	pairs   map[*pair]struct{}
	closed  bool
}

// pair is a connection from a client and the one to the server that continues it.
type pair struct {
	client, server *net.TCPConn
}

// reset ends both connections without an orderly close.
func (p *pair) reset() {
	for _, conn := range []*net.TCPConn{p.client, p.server} {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

// newLink starts a link from address to server.
func newLink(address, server netip.AddrPort) (*Link, error) {
	l := &Link{
		address: address, server: server, effects: make(map[Effect]int),
		changed: make(chan struct{}), pairs: make(map[*pair]struct{}),
	}
	return l, l.Accept()
}

// Accept makes the link accept connections, unless it is closed.
func (l *Link) Accept() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.listener != nil {
		return nil
	}
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(l.address))
	if err != nil {
		return fmt.Errorf("listen for link to %s: %w", l.server, err)
	}
	l.listener = listener
	go l.run(listener)
	return nil
}

// Refuse resets the connections and refuses new ones, like a machine on which the process
// of the server has ended.
func (l *Link) Refuse() {
	l.RefuseNew()
	l.resetPairs()
}

// RefuseNew refuses new connections.
func (l *Link) RefuseNew() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
}

// run accepts connections until its listener is closed.
func (l *Link) run(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go l.forward(conn.(*net.TCPConn))
		}
	}
}

func (l *Link) forward(client *net.TCPConn) {
	var server net.Conn
	err := net.ErrClosed
	if !l.has(Cut) {
		server, err = (&net.Dialer{Timeout: dialTimeout}).DialContext(context.Background(), "tcp", l.server.String())
	}
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	p := &pair{client: client, server: server.(*net.TCPConn)}
	if !l.add(p) {
		p.reset()
		return
	}
	var wait sync.WaitGroup
	wait.Go(func() { l.copy(p, p.server, p.client, RequestsHeld) })
	wait.Go(func() { l.copy(p, p.client, p.server, ResponsesHeld) })
	wait.Wait()
	l.remove(p)
	_ = p.client.Close()
	_ = p.server.Close()
}

// copy forwards one direction of a pair. held is the effect that withholds it.
func (l *Link) copy(p *pair, to, from *net.TCPConn, held Effect) {
	buffer := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buffer)
		l.pass(held)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				p.reset()
				return
			}
		}
		var reset net.Error
		switch {
		case err == nil:
		case errors.As(err, &reset):
			p.reset()
			return
		default:
			_ = to.CloseWrite()
			return
		}
	}
}

// pass waits until data of one direction may be delivered.
func (l *Link) pass(held Effect) {
	if l.has(Delayed) {
		time.Sleep(linkDelay)
	}
	for {
		l.mu.Lock()
		open := l.closed || l.effects[held] == 0 && l.effects[Silent] == 0
		changed := l.changed
		l.mu.Unlock()
		if open {
			return
		}
		<-changed
	}
}

func (l *Link) has(effect Effect) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.effects[effect] > 0
}

// add notes a pair. It returns false if the link is cut or closed.
func (l *Link) add(p *pair) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.listener == nil || l.effects[Cut] > 0 {
		return false
	}
	l.pairs[p] = struct{}{}
	return true
}

func (l *Link) remove(p *pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pairs, p)
}

// Begin puts an effect in force.
func (l *Link) Begin(effect Effect) {
	l.change(effect, 1)
	if effect == Reset || effect == Cut {
		l.resetPairs()
	}
}

// End ends an effect.
func (l *Link) End(effect Effect) { l.change(effect, -1) }

func (l *Link) change(effect Effect, by int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.effects[effect] += by
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Link) resetPairs() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.reset()
	}
}

// Close ends the link and its connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.Refuse()
	l.change(Reset, 0)
}
