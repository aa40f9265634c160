package resetter

import (
	"bytes"
	"net"
	"strconv"
	"strings"
	"sync"
)

// clientConn is the client's side of a connection.
type clientConn struct {
	net.Conn
	upstream *Upstream
	// answer is that to the request, known once begun is closed by the first write.
	answer    Answer
	begun     chan struct{}
	markBegun func()
	// written is closed once a write has failed or has sent the last byte of the request, and
	// ended once a read has failed or the connection was closed.
	written, ended         chan struct{}
	markWritten, markEnded func()
	// head is that of the request as far as it was sent; rest is the number of bytes that
	// follow it, and -1 before its end.
	head []byte
	rest int
}

func newClientConn(conn net.Conn, u *Upstream) *clientConn {
	c := &clientConn{Conn: conn, upstream: u, begun: make(chan struct{}), written: make(chan struct{}), ended: make(chan struct{}), rest: -1}
	c.markBegun = sync.OnceFunc(func() {
		c.answer = u.next(&u.sent)
		close(c.begun)
	})
	c.markWritten = sync.OnceFunc(func() { close(c.written) })
	c.markEnded = sync.OnceFunc(func() { close(c.ended) })
	return c
}

// Write implements net.Conn.
func (c *clientConn) Write(data []byte) (int, error) {
	c.markBegun()
	n, err := c.Conn.Write(data)
	if err == nil && !c.endsRequest(data) {
		return n, nil
	}
	c.markWritten()
	if c.upstream.cfg.LateWrite {
		<-c.ended
	}
	return n, err
}

// endsRequest reports whether data ends with the last byte of a request.
func (c *clientConn) endsRequest(data []byte) bool {
	if c.rest >= 0 {
		c.rest -= len(data)
		return c.rest == 0
	}
	c.head = append(c.head, data...)
	end := bytes.Index(c.head, []byte("\r\n\r\n"))
	if end < 0 {
		return false
	}
	c.rest = contentLength(string(c.head[:end])) - len(c.head[end+4:])
	return c.rest == 0
}

// contentLength returns the length that the head of a request states, 0 for none.
func contentLength(head string) int {
	for line := range strings.Lines(head) {
		if value, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(value))
			return n
		}
	}
	return 0
}

// Read implements net.Conn.
func (c *clientConn) Read(data []byte) (int, error) {
	wait(c.begun, c.ended)
	select {
	case <-c.begun:
		if c.answer.resets() {
			wait(c.written, c.ended)
		}
	default: // closed without a request
	}
	n, err := c.Conn.Read(data)
	if err != nil {
		c.markEnded()
	}
	return n, err
}

// wait waits until one of two channels is closed.
func wait(a, b <-chan struct{}) {
	select {
	case <-a:
	case <-b:
	}
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.markEnded()
	return c.Conn.Close()
}

// NetConn returns the connection below.
func (c *clientConn) NetConn() net.Conn { return c.Conn }
