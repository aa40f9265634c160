// Package flooder is a server of a test that answers each request with bytes that do not
// end until the client closes the connection.
package flooder

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
)

// Form is a kind of answer without an end.
type Form string

// Forms of answers.
const (
	Garbage       Form = "garbage"
	StatusLine    Form = "status_line"
	Head          Form = "head"
	Informational Form = "informational"
	Body          Form = "body"
	ChunkedBody   Form = "chunked_body"
	// Trailer is a complete answer of an empty body in chunks, with a trailer.
	Trailer Form = "trailer"
	// Redirect sends the client to another host.
	Redirect Form = "redirect"
	// Idle is a complete answer, followed by bytes that no request has asked for.
	Idle Form = "idle"
)

const (
	blockBytes  = 4 << 10
	closingHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// parts returns the start of an answer and the block that follows it again and again.
func (f Form) parts() (start, block string) {
	line := strings.Repeat("x", blockBytes-8)
	switch f {
	case StatusLine:
		return "HTTP/1.1 200 ", line
	case Head:
		return "HTTP/1.1 200 OK\r\n", "X-A: " + line + "\r\n"
	case Informational:
		return "", "HTTP/1.1 103 Early Hints\r\nX-A: " + line + "\r\n\r\n"
	case Body:
		return closingHead, line
	case ChunkedBody:
		return chunkedHead, "ff8\r\n" + line + "\r\n"
	case Trailer:
		return chunkedHead + "0\r\n", "X-A: " + line + "\r\n"
	case Idle:
		return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", line
	case Redirect:
		return "HTTP/1.1 302 Found\r\nLocation: http://10.0.0.2/\r\nContent-Length: 0\r\n\r\n", line
	case Garbage:
	}
	return "", line
}

// Flooder counts the bytes that its clients have read.
type Flooder struct {
	form Form

	mu sync.Mutex
	// read is the number of bytes on all connections, open that on those that are open,
	// and openPeak the highest value of the latter.
	read, open, openPeak int
	addresses            []string
}

// New returns a Flooder that answers in a form.
func New(form Form) *Flooder { return &Flooder{form: form} }

// BytesRead returns the number of bytes that clients have read.
func (f *Flooder) BytesRead() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.read
}

// OpenPeak returns the highest number of bytes that clients have read from connections
// that were open at the same time.
func (f *Flooder) OpenPeak() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.openPeak
}

// Addresses returns the addresses of all connections so far.
func (f *Flooder) Addresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.addresses...)
}

// Dial opens a connection to the server. It has the signature of
// http.Transport.DialContext.
func (f *Flooder) Dial(_ context.Context, _, address string) (net.Conn, error) {
	f.mu.Lock()
	f.addresses = append(f.addresses, address)
	f.mu.Unlock()
	client, server := net.Pipe()
	go f.run(server)
	return &countedConn{Conn: client, flooder: f}, nil
}

// run reads a request and answers it until the client closes the connection.
func (f *Flooder) run(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_ = r.Body.Close()
	start, block := f.form.parts()
	_, err = conn.Write([]byte(start))
	for err == nil {
		_, err = conn.Write([]byte(block))
	}
}

// countedConn counts the bytes that are read from a connection.
type countedConn struct {
	net.Conn
	flooder *Flooder
	// read is the number of bytes until the connection was closed.
	read   int
	closed bool
}

// Read implements net.Conn.
func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.flooder.mu.Lock()
	defer c.flooder.mu.Unlock()
	c.flooder.read += n
	if !c.closed {
		c.read += n
		c.flooder.open += n
		c.flooder.openPeak = max(c.flooder.openPeak, c.flooder.open)
	}
	return n, err
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.flooder.mu.Lock()
	c.flooder.open -= c.read
	c.read, c.closed = 0, true
	c.flooder.mu.Unlock()
	return c.Conn.Close()
}
