package caller_test

import (
	"errors"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/piper"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

var errNotAdmitted = errors.New("not admitted")

// TestCallThatIsNotAdmittedSendsNothing refuses calls once their connection is
// open, new or reused, with and without a body.
func TestCallThatIsNotAdmittedSendsNothing(t *testing.T) {
	t.Parallel()
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, pooled := range []bool{false, true} {
			t.Run(method, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { checkNotAdmitted(t, method, pooled) })
			})
		}
	}
}

func checkNotAdmitted(t *testing.T, method string, pooled bool) {
	is := is.New(t)
	network := piper.New()
	defer network.Close()
	var received atomic.Int64
	network.Serve("10.0.0.1:80", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	c := caller.New(caller.Config{Dial: network.Dial, IdleTimeout: time.Second})
	defer c.Close()
	target := caller.Target{Name: "u", Address: netip.MustParseAddrPort("10.0.0.1:80")}
	call := caller.Call{Method: method, Path: "/", FirstByteDeadline: time.Now().Add(time.Second), IdleTimeout: time.Second}
	if method == http.MethodPost {
		call.Body = []byte("body")
	}
	before := int64(0)
	if pooled {
		admitted := 0
		call.Admit = func() error { admitted++; return nil }
		response, err := c.Do(t.Context(), target, call)
		is.NoErr(err)
		is.NoErr(response.Finish())
		is.Equal(admitted, 1) // once per call, not per write
		before = 1
	}
	call.Admit = func() error { return errNotAdmitted }
	_, err := c.Do(t.Context(), target, call)
	var failure *caller.Failure
	is.True(errors.As(err, &failure))
	is.True(errors.Is(err, errNotAdmitted))
	is.True(failure.NotRun)
	is.True(!failure.Sent)
	synctest.Wait()
	is.Equal(received.Load(), before)
}
