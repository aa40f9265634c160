package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// call is a request of a requester and its answer.
type call struct {
	ID     string
	Method string
	Path   string
	Key    string
	// Headers are further header lines.
	Headers []string
	Body    string
	// Timeout is the time budget.
	Timeout time.Duration

	SentAt time.Time
	Status int
	Header http.Header
	// Answer is the body that arrived. Complete is true if the answer is framed as complete.
	Answer   string
	Complete bool
	Err      error
}

var lastCall atomic.Uint64

// newID returns an ID that no other request has.
func newID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+lastCall.Add(1)) }

// requester sends requests on one kept channel at a time.
type requester struct {
	gateway *gateway
	conn    net.Conn
	reader  *bufio.Reader
}

// do sends a call and reads its answer.
func (q *requester) do(c *call) {
	if c.Timeout == 0 {
		c.Timeout = 6 * time.Second
	}
	if q.conn == nil {
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", q.gateway.front)
		if err != nil {
			c.Err = err
			return
		}
		q.conn, q.reader = conn, bufio.NewReader(conn)
	}
	c.SentAt = time.Now()
	_ = q.conn.SetDeadline(c.SentAt.Add(c.Timeout + time.Second))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nCredential: %s\r\n",
		c.Method, c.Path, routeHost, c.ID, c.Timeout.Milliseconds(), c.Key)
	for _, line := range c.Headers {
		head.WriteString(line + "\r\n")
	}
	fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", len(c.Body))
	if _, c.Err = io.WriteString(q.conn, head.String()+c.Body); c.Err != nil {
		q.close()
		return
	}
	response, err := http.ReadResponse(q.reader, nil)
	if err != nil {
		c.Err = err
		q.close()
		return
	}
	c.Status, c.Header = response.StatusCode, response.Header
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	c.Answer, c.Complete, c.Err = string(body), err == nil, err
	if err != nil || response.Close {
		q.close()
	}
}

func (q *requester) close() {
	if q.conn != nil {
		_ = q.conn.Close()
		q.conn = nil
	}
}
