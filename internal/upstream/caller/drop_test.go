package caller_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// TestRequestBodyIsDroppedOnceWritten guards against a body that is dropped while the
// upstream, which has begun its response, still reads it.
func TestRequestBodyIsDroppedOnceWritten(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client, upstream := net.Pipe()
		c := caller.New(caller.Config{Dial: func(context.Context, string, string) (net.Conn, error) { return client, nil }})
		defer c.Close()
		sent := strings.Repeat("body", 100_000)
		steps := make(chan struct{})
		go func() {
			request, err := http.ReadRequest(bufio.NewReader(upstream))
			is.NoErr(err)
			_, _ = io.WriteString(upstream, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
			<-steps
			body, err := io.ReadAll(request.Body)
			is.NoErr(err)
			is.True(string(body) == sent)
			<-steps
			_, _ = io.WriteString(upstream, "ok")
		}()
		target := caller.Target{Name: "up", Address: netip.MustParseAddrPort("10.0.0.1:80")}
		answer, err := c.Do(t.Context(), target, caller.Call{
			Method: http.MethodPost, Path: "/", Body: []byte(sent),
			FirstByteDeadline: time.Now().Add(time.Second), IdleTimeout: time.Second,
		})
		is.NoErr(err)
		is.True(!answer.DropRequestBody())
		steps <- struct{}{}
		synctest.Wait()
		is.True(answer.DropRequestBody())
		steps <- struct{}{}
		text, err := io.ReadAll(answer)
		is.NoErr(err)
		is.Equal(string(text), "ok")
		is.NoErr(answer.Finish())
	})
}
