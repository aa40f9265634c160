package piper

import (
	"net"
	"sync"
	"syscall"
)

// link is the dialling side of a connection.
type link struct {
	net.Conn
	network *Network
	closed  chan struct{}
	once    sync.Once

	mu     sync.Mutex
	silent bool
	left   int
}

func (l *link) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = true
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
	if l.left == never || len(data) <= l.left {
		return l.Conn.Write(data)
	}
	n, _ := l.Conn.Write(data[:l.left])
	_ = l.Close()
	return n, syscall.ECONNRESET
}

// Read implements net.Conn.
func (l *link) Read(data []byte) (int, error) {
	n, err := l.Conn.Read(data)
	if l.isSilent() {
		<-l.closed
		return 0, net.ErrClosed
	}
	l.network.addRead(n)
	return n, err
}

// Close implements net.Conn.
func (l *link) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Conn.Close()
}
