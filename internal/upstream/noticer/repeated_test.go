package noticer_test

import (
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/testing/piper"
	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// repeatedRow is the response to a call at an upstream with a limit of 20, over a connection
// that has carried an earlier call.
type repeatedRow struct {
	Name   string            `json:"name"`
	Header map[string]string `json:"header"`
	// Own is true if the response belongs to the call.
	Own bool `json:"own"`
	// Share and HeldMS are what the router believes after it.
	Share  float64 `json:"share"`
	HeldMS int64   `json:"held_ms"`
}

// TestLimitOutlastsResponseToEarlierCall guards against the end or the increase of a limit by
// a response that belongs to another call and may be one of before.
func TestLimitOutlastsResponseToEarlierCall(t *testing.T) {
	t.Parallel()
	var rows []repeatedRow
	scripter.Read(t, "testdata/repeated.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runRepeatedRow(t, row) })
		})
	}
}

func runRepeatedRow(t *testing.T, row repeatedRow) {
	is := is.New(t)
	target := caller.Target{Name: "engine", Address: netip.MustParseAddrPort("10.0.0.1:80")}
	network := piper.New()
	defer network.Close()
	network.Serve(target.Address.String(), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(encoder.HeaderRequestID) == "earlier" {
			w.Header().Set(encoder.HeaderLimit, "20")
			return
		}
		for name, value := range row.Header {
			w.Header().Set(name, value)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	p := newRouters(routerLimitRow{Routers: 1}, target)[0]
	calls := caller.New(caller.Config{Dial: network.Dial, Notices: p})
	defer calls.Close()
	for _, id := range []string{"earlier", "call"} {
		time.Sleep(500 * time.Millisecond) // the limit allows a call again
		call := caller.Call{RequestID: id, Attempt: 1, Method: http.MethodGet, Path: "/", FirstByteDeadline: time.Now().Add(time.Second), IdleTimeout: time.Second}
		response, err := calls.Do(t.Context(), target, call)
		is.Equal(err == nil, id == "earlier" || row.Own)
		if err == nil {
			is.NoErr(response.Finish())
		}
	}
	is.Equal(p.LimitShare(target.Name), row.Share)
	is.Equal(max(time.Until(p.HeldUntil(target.Name)).Milliseconds(), 0), row.HeldMS)
}
