// Package screener refuses broken responses of HTTP servers that net/http takes for whole or
// valid ones.
package screener

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// ErrReset is returned in place of io.EOF by a connection that its peer has not ended in order.
var ErrReset = errors.New("connection was reset within the request")

// writeDeadlinePassed ends a write that waits.
var writeDeadlinePassed = time.Unix(1, 0)

// Conn is a client's connection whose reads fail on a response with a malformed head, and
// return io.EOF only if the server has ended the connection in order. The kernel reports a
// reset once: if a write gets it, the next read gets the end of the connection, which would
// also be that of a response without a length.
type Conn struct {
	net.Conn

	headMu sync.Mutex
	head   head

	// writeMu is held during a write.
	writeMu sync.Mutex
	// writeErr is the error of the write that has found the connection dead.
	writeErr error
}

// NewConn returns a Conn on top of conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(data)
	if isReset(err) {
		c.writeErr = err
	}
	return n, err
}

// isReset reports whether a write has failed on a connection that has not ended in order. One
// that has, and is reset afterwards, gives EPIPE.
func isReset(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// BeginRequest tells that a request is about to be sent, and no response is under way.
func (c *Conn) BeginRequest() {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.head = head{}
}

// Read implements net.Conn. It returns ErrHead and nothing of the bytes that it has read if
// they make a head malformed, and ErrReset in place of io.EOF if a write got the reset.
// Nothing more can be written once it has returned io.EOF or ErrReset.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if headErr := c.checkHead(data[:n]); headErr != nil {
		return 0, headErr
	}
	if errors.Is(err, io.EOF) {
		err = c.endError(err)
	}
	return n, err
}

func (c *Conn) checkHead(data []byte) error {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	return c.head.check(data)
}

// endError returns the error for reads that have got the end of the connection. A write that
// has got the reset before may not have returned yet, so that it waits for it; one that waits
// for a server that has closed its side only gets none.
func (c *Conn) endError(end error) error {
	_ = c.SetWriteDeadline(writeDeadlinePassed) // fails only on a closed connection
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.writeErr != nil {
		return fmt.Errorf("%w: %w", ErrReset, c.writeErr)
	}
	return end
}
