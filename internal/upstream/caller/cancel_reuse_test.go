package caller_test

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// TestCancelLeavesReusedConnection cancels a call after the transport has taken its
// connection back and before its response is delivered. The call that has got the
// connection since must not end with it.
func TestCancelLeavesReusedConnection(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &server{scripts: []script{{Serve: 1, ReadBytes: -1, Response: okResponse, Hold: true}}}
		c := caller.New(caller.Config{Dial: s.dial})
		defer c.Close()
		target := caller.Target{Name: "up", Address: netip.MustParseAddrPort("10.0.0.1:80")}
		call := caller.Call{Method: http.MethodPost, Path: "/", FirstByteDeadline: time.Now().Add(time.Second), IdleTimeout: time.Second}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		second := make(chan error, 1)
		var once sync.Once
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{PutIdleConn: func(error) {
			once.Do(func() {
				sent := make(chan struct{})
				go func() {
					trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { close(sent) }}
					_, err := c.Do(httptrace.WithClientTrace(t.Context(), trace), target, call)
					second <- err
				}()
				<-sent
				cancel()
				synctest.Wait()
			})
		}})
		_, _ = c.Do(ctx, target, call)
		is.NoErr(<-second)
	})
}
