package caller_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// script defines the behaviour of a server on one connection.
type script struct {
	// Serve is the number of complete requests to answer with 200 first.
	Serve int `json:"serve"`
	// ReadBytes is the number of bytes to read before Response is written, -1
	// for a complete request.
	ReadBytes int `json:"read_bytes"`
	// Response is the raw text to write after that.
	Response string `json:"answer"`
	// Hold keeps the connection open without writing; otherwise it is closed.
	Hold bool `json:"hold"`
}

// row is a test case with one call, or two on one connection, to a scripted
// server.
type row struct {
	Name   string `json:"name"`
	Method string `json:"method"`
	Key    string `json:"key"`
	Body   string `json:"body"`
	// Refuse makes the server refuse connections.
	Refuse bool `json:"refuse"`
	// Pooled sends a call beforehand whose connection the tested call reuses.
	Pooled  bool     `json:"pooled"`
	Scripts []script `json:"scripts"`
	// Sent, Reused and Silent are the properties of the expected failure.
	Sent   bool `json:"sent"`
	Reused bool `json:"reused"`
	Silent bool `json:"silent"`
	// Status is the expected response status; 0 expects a failure.
	Status int `json:"status"`
	// Received is the number of requests whose complete header reached the server.
	Received int `json:"received"`
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// server runs one script per connection and counts the requests it receives.
type server struct {
	refuse  bool
	scripts []script

	mu       sync.Mutex
	received int
}

func (s *server) dial(context.Context, string, string) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse {
		return nil, syscall.ECONNREFUSED
	}
	next := script{ReadBytes: -1, Response: okResponse}
	if len(s.scripts) > 0 {
		next = s.scripts[0]
		s.scripts = s.scripts[1:]
	}
	clientEnd, serverEnd := net.Pipe()
	go s.run(serverEnd, next)
	return clientEnd, nil
}

func (s *server) run(conn net.Conn, next script) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for range next.Serve {
		if !s.receive(reader) {
			return
		}
		_, _ = io.WriteString(conn, okResponse)
	}
	if next.ReadBytes < 0 {
		s.receive(reader)
	} else {
		_, _ = io.CopyN(io.Discard, reader, int64(next.ReadBytes))
	}
	_, _ = io.WriteString(conn, next.Response)
	if next.Hold {
		_, _ = io.Copy(io.Discard, reader)
	}
}

func (s *server) receive(reader *bufio.Reader) bool {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	s.mu.Lock()
	s.received++
	s.mu.Unlock()
	_, _ = io.Copy(io.Discard, request.Body)
	return true
}

func loadRows(t *testing.T, name string) []row {
	t.Helper()
	var rows []row
	scripter.Read(t, "testdata/"+name, &rows)
	return rows
}

// A call that fails must report whether a byte of its request may have been sent,
// and the transport must not resend the request on another connection: either
// mistake could make an upstream execute the request twice.
func TestFailureReportsWhetherRequestWasSent(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"positions.json", "resend.json", "repeated.json"} {
		for _, r := range loadRows(t, name) {
			t.Run(r.Name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runRow(t, r) })
			})
		}
	}
}

func runRow(t *testing.T, r row) {
	is := is.New(t)
	s := &server{refuse: r.Refuse, scripts: r.Scripts}
	c := caller.New(caller.Config{Dial: s.dial})
	defer synctest.Wait()
	defer c.Close()
	target := caller.Target{Name: "up", Address: netip.MustParseAddrPort("10.0.0.1:80")}
	call := caller.Call{
		RequestID:      "request",
		Attempt:        1,
		Method:         r.Method,
		Path:           "/orders",
		IdempotencyKey: r.Key,
		Body:           []byte(r.Body),
		NewConnection:  !r.Pooled,
		IdleTimeout:    3 * time.Second,
	}
	if r.Pooled {
		call.FirstByteDeadline = time.Now().Add(10 * time.Second)
		first, err := c.Do(t.Context(), target, call)
		is.NoErr(err)
		is.NoErr(first.Finish())
		synctest.Wait()
	}
	call.FirstByteDeadline = time.Now().Add(10 * time.Second)
	response, err := c.Do(t.Context(), target, call)
	if err == nil {
		response.Discard()
	}
	synctest.Wait()
	is.Equal(s.received, r.Received) // the request was not resent
	if r.Status != 0 {
		is.NoErr(err)
		is.Equal(response.Status, r.Status)
		return
	}
	if !r.Refuse {
		checkNotReused(t, c, target, call)
	}
	var failure *caller.Failure
	is.True(errors.As(err, &failure))
	is.Equal(failure.Sent, r.Sent)
	is.Equal(failure.NotRun, !r.Sent)
	is.Equal(failure.Reused, r.Reused)
	is.Equal(errors.Is(err, caller.ErrSilent), r.Silent)
}

// checkNotReused checks that a failed connection is not reused by a later call.
func checkNotReused(t *testing.T, c *caller.Caller, target caller.Target, call caller.Call) {
	t.Helper()
	is := is.New(t)
	call.NewConnection = false
	call.FirstByteDeadline = time.Now().Add(time.Second)
	response, err := c.Do(t.Context(), target, call)
	is.NoErr(err)
	is.True(!response.Reused)
	response.Discard()
}

// TestDiscardLeavesReusedConnection discards a response without a body once its
// connection carries another call, which must get its own response.
func TestDiscardLeavesReusedConnection(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &server{scripts: []script{{Serve: 3, ReadBytes: -1}}}
		c := caller.New(caller.Config{Dial: s.dial})
		defer synctest.Wait()
		defer c.Close()
		target := caller.Target{Name: "up", Address: netip.MustParseAddrPort("10.0.0.1:80")}
		call := caller.Call{Method: http.MethodPost, Path: "/", FirstByteDeadline: time.Now().Add(time.Second), IdleTimeout: time.Second}
		first, err := c.Do(t.Context(), target, call)
		is.NoErr(err)
		second, err := c.Do(t.Context(), target, call)
		is.NoErr(err)
		is.True(second.Reused)
		first.Discard()
		third, err := c.Do(t.Context(), target, call)
		is.NoErr(err)
		is.True(third.Reused) // the connection is still open
		third.Discard()
	})
}

// TestDiscardLeavesReturnedConnection discards responses that have ended. The
// transport has taken their connections back, and another call may be about to use
// them, which must not find them closed.
func TestDiscardLeavesReturnedConnection(t *testing.T) {
	t.Parallel()
	for _, body := range []string{"", "body"} {
		t.Run(fmt.Sprint(len(body), " bytes"), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				text := fmt.Sprintf("HTTP/1.1 503 Busy\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				s := &server{scripts: []script{{ReadBytes: -1, Response: text, Hold: true}}}
				c := caller.New(caller.Config{Dial: s.dial})
				defer synctest.Wait()
				defer c.Close()
				target := caller.Target{Name: "up", Address: netip.MustParseAddrPort("10.0.0.1:80")}
				call := caller.Call{Method: http.MethodPost, Path: "/", FirstByteDeadline: time.Now().Add(time.Second), IdleTimeout: time.Second}
				first, err := c.Do(t.Context(), target, call)
				is.NoErr(err)
				_, err = io.ReadAll(first)
				is.NoErr(err)
				first.Discard()
				synctest.Wait()
				_, err = c.Do(t.Context(), target, call)
				var failure *caller.Failure
				is.True(errors.As(err, &failure)) // the script does not answer
				is.True(failure.Reused)
			})
		})
	}
}
