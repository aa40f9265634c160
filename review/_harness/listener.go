package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// mutableListener accepts connections that can go silent for good: what is sent on them from
// then on arrives at neither side, and nothing closes them.
type mutableListener struct {
	net.Listener

	mu    sync.Mutex
	conns []*mutableConn
}

// Accept implements net.Listener.
func (l *mutableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &mutableConn{Conn: conn}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

// silence makes all connections that are open now silent. Later ones work.
func (l *mutableListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.silent.Store(true)
	}
	l.conns = nil
}

type mutableConn struct {
	net.Conn
	silent atomic.Bool
}

// Read implements net.Conn.
func (c *mutableConn) Read(data []byte) (int, error) {
	for {
		n, err := c.Conn.Read(data)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *mutableConn) Write(data []byte) (int, error) {
	if c.silent.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close implements net.Conn. A silent connection stays open.
func (c *mutableConn) Close() error {
	if c.silent.Load() {
		return nil
	}
	return c.Conn.Close()
}
