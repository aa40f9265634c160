package caller_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

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
