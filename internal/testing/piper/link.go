package piper

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// clientConn is the client side of a connection. It injects the faults.
type clientConn struct {
	net.Conn
	network *Network
	closed  chan struct{}
	once    sync.Once

	mu sync.Mutex
	// delay is the time that writes take, and delayed holds those on their way;
	// nil without a delay.
	delay   time.Duration
	delayed chan delayedWrite
	// silent makes writes succeed without effect and reads block until Close.
	silent bool
	// writeLimit is the size of the largest write that does not cut the
	// connection, or neverCut.
	writeLimit int
}

func (c *clientConn) makeSilent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *clientConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// Write implements net.Conn.
func (c *clientConn) Write(data []byte) (int, error) {
	if c.isSilent() {
		return len(data), nil
	}
	if c.enqueue(append([]byte{}, data...)) {
		return len(data), nil
	}
	if c.writeLimit == neverCut || len(data) <= c.writeLimit {
		return c.Conn.Write(data)
	}
	n, _ := c.Conn.Write(data[:c.writeLimit])
	_ = c.Close()
	return n, syscall.ECONNRESET
}

// Read implements net.Conn.
func (c *clientConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	c.network.addBytesRead(n)
	return n, err
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	var err error
	c.once.Do(func() {
		close(c.closed)
		if c.enqueue(nil) {
			err = c.SetReadDeadline(time.Now())
			return
		}
		err = c.Conn.Close()
	})
	return err
}
