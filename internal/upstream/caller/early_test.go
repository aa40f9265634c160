package caller_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// resetConn is a connection that is reset within the request, after its upstream has
// responded. The response is read once the write has failed and nothing else goes on.
type resetConn struct {
	net.Conn
	response *strings.Reader
}

func (c resetConn) Write(data []byte) (int, error) { return len(data) / 2, syscall.ECONNRESET }

func (c resetConn) Read(data []byte) (int, error) {
	synctest.Wait()
	n, err := c.response.Read(data)
	if err != nil {
		err = syscall.ECONNRESET
	}
	return n, err
}

// TestEarlyResponseIsReturned guards against the loss of a response to a request that
// the upstream did not read to its end.
func TestEarlyResponseIsReturned(t *testing.T) {
	t.Parallel()
	for _, text := range []string{
		"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbusy",
		"",
	} {
		t.Run(text, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := caller.New(caller.Config{Dial: func(context.Context, string, string) (net.Conn, error) {
					conn, _ := net.Pipe()
					return resetConn{conn, strings.NewReader(text)}, nil
				}})
				defer c.Close()
				target := caller.Target{Name: "up", Address: netip.MustParseAddrPort("10.0.0.1:80")}
				call := caller.Call{Method: http.MethodPost, Path: "/", Body: []byte("body"), FirstByteDeadline: time.Now().Add(time.Second), IdleTimeout: time.Second}
				response, err := c.Do(t.Context(), target, call)
				if text == "" {
					is.True(err != nil)
					return
				}
				is.NoErr(err)
				is.Equal(response.Status, http.StatusServiceUnavailable)
				response.Discard()
			})
		})
	}
}

// hastyConn is a connection whose upstream answers with okResponse, or sends a response of its
// own choice.
type hastyConn struct {
	net.Conn
	responses chan string
	answers   bool
	written   atomic.Int64
}

func (c *hastyConn) Write(data []byte) (int, error) {
	c.written.Add(int64(len(data)))
	if c.answers {
		c.responses <- okResponse
	}
	return len(data), nil
}

func (c *hastyConn) Read(data []byte) (int, error) {
	response, ok := <-c.responses
	if !ok {
		return 0, net.ErrClosed
	}
	return copy(data, response), nil
}

// hastyRow is a response that arrives before the first byte of its request is sent.
type hastyRow struct {
	Name     string `json:"name"`
	Response string `json:"answer"`
	Reused   bool   `json:"reused"`
}

// TestResponseBeforeRequestIsDropped guards against the belief in a response that has arrived
// before the request was sent, which the upstream may then run.
func TestResponseBeforeRequestIsDropped(t *testing.T) {
	t.Parallel()
	var rows []hastyRow
	scripter.Read(t, "testdata/hasty.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runHastyRow(t, row) })
		})
	}
}

func runHastyRow(t *testing.T, row hastyRow) {
	is := is.New(t)
	inner, _ := net.Pipe()
	conn := &hastyConn{Conn: inner, responses: make(chan string, 1)}
	defer close(conn.responses)
	c := caller.New(caller.Config{Dial: func(context.Context, string, string) (net.Conn, error) { return conn, nil }})
	defer c.Close()
	target := caller.Target{Name: "up", Address: netip.MustParseAddrPort("10.0.0.1:80")}
	call := caller.Call{Method: http.MethodPost, RequestID: "id", Attempt: 1, Path: "/", FirstByteDeadline: time.Now().Add(time.Second), IdleTimeout: time.Second}
	if row.Reused {
		conn.answers = true
		first, err := c.Do(t.Context(), target, call)
		is.NoErr(err)
		is.NoErr(first.Finish())
		synctest.Wait()
		conn.answers = false
		conn.written.Store(0)
	}
	var once sync.Once
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{WroteHeaderField: func(string, []string) {
		once.Do(func() { // the header is written to a buffer
			conn.responses <- row.Response
			synctest.Wait()
		})
	}})
	_, err := c.Do(ctx, target, call)
	var failure *caller.Failure
	is.True(errors.As(err, &failure))
	is.True(failure.NotRun)
	is.Equal(failure.Status, 0)
	is.Equal(conn.written.Load(), int64(0))
}
