package starter

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/caching/listener"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/placement/upgrader"
	"gentianstep.example/gentianstep/internal/platform/dialer"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/streaming/bounder"
	"gentianstep.example/gentianstep/internal/testing/flooder"
	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/internal/upstream/observer"
	"gentianstep.example/gentianstep/internal/upstream/screener"
	"gentianstep.example/gentianstep/platform"
)

// The smallest VM has 112 MB and a link of 10 Mbit/s, and speaks to 72 upstreams.
const (
	smallestMemoryBytes = 112 << 20
	fleetUpstreams      = 72
	// maxEndlessBytes is what one call may read of an answer without an end: 72 of them
	// take 8 s of that link and a twelfth of that memory.
	maxEndlessBytes = 128 << 10
	endlessTimeout  = 10 * time.Second
)

// endlessRow is a call whose answer does not end.
type endlessRow struct {
	Name string       `json:"name"`
	Call string       `json:"call"`
	Form flooder.Form `json:"form"`
}

// endlessCalls holds the calls to upstreams and the store whose answers are short.
var endlessCalls = map[string]func(ctx context.Context, gateway, controller *http.Client, address netip.AddrPort) error{
	"report": func(ctx context.Context, gateway, _ *http.Client, address netip.AddrPort) error {
		_, err := platform.EngineClient{HTTPClient: gateway}.Report(ctx, upstreamAt(address))
		return err
	},
	"order": func(ctx context.Context, gateway, _ *http.Client, address netip.AddrPort) error {
		_, err := platform.EngineClient{OrderClient: gateway}.Order(ctx, upstreamAt(address), upgrader.Order{Model: "m", Version: 1})
		return err
	},
	"events": func(ctx context.Context, gateway, _ *http.Client, address netip.AddrPort) error {
		_, err := platform.EngineClient{HTTPClient: gateway}.Events(ctx, upstreamAt(address), 0, 0)
		return err
	},
	"status": func(ctx context.Context, _, controller *http.Client, address netip.AddrPort) error {
		_, err := observer.New(observer.Config{Client: controller}).Fetch(ctx, address)
		return err
	},
	"store": func(ctx context.Context, gateway, _ *http.Client, address netip.AddrPort) error {
		_, err := platform.NewClient(platform.ClientConfig{Address: address, HTTPClient: gateway}).Get(ctx, "k")
		return err
	},
	"write": func(ctx context.Context, gateway, _ *http.Client, address netip.AddrPort) error {
		_, err := platform.NewClient(platform.ClientConfig{Address: address, HTTPClient: gateway}).Put(ctx, "k", nil, storer.PutOptions{})
		return err
	},
	"controller's store": func(ctx context.Context, _, controller *http.Client, address netip.AddrPort) error {
		_, err := dialer.New(dialer.Config{Address: address, Client: controller}).Get(ctx, "k")
		return err
	},
}

func upstreamAt(address netip.AddrPort) *registrar.Upstream {
	return &registrar.Upstream{ID: "u", Address: address}
}

// TestAnswersWithoutEndAreCutOff guards against answers without an end that fill the
// memory and the link of a VM.
func TestAnswersWithoutEndAreCutOff(t *testing.T) {
	t.Parallel()
	var rows []endlessRow
	scripter.Read(t, "testdata/endless.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := flooder.New(row.Form)
			g := &gateway{dial: server.Dial}
			base := newBaseTransport(nil)
			base.DialContext = server.Dial
			controller := &http.Client{Transport: screener.NewTransport(base)}
			ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
			defer cancel()
			err := endlessCalls[row.Call](ctx, g.newClient(), controller, netip.MustParseAddrPort("10.0.0.1:80"))
			is.NoErr(ctx.Err()) // it does not take the time of the call to notice
			if row.Form != flooder.Idle {
				is.True(err != nil || row.Call == "order")
			}
			if row.Call == "events" && err != nil {
				is.True(errors.Is(err, listener.ErrNoResponse))
			}
			if got := server.BytesRead(); got > maxEndlessBytes {
				t.Errorf("read %d bytes, want at most %d", got, maxEndlessBytes)
			}
		})
	}
}

// TestListsWithoutEndLeaveMemory guards against calls that each stay within their limit,
// but not all of them together.
func TestListsWithoutEndLeaveMemory(t *testing.T) {
	t.Parallel()
	server := flooder.New(flooder.ChunkedBody)
	g := &gateway{dial: server.Dial}
	engines := platform.EngineClient{HTTPClient: g.newClient(), Bodies: bounder.New(smallestMemoryBytes / 8)}
	var calls sync.WaitGroup
	for range fleetUpstreams {
		calls.Go(func() {
			if _, err := engines.List(t.Context(), upstreamAt(netip.MustParseAddrPort("10.0.0.1:80"))); err == nil {
				t.Error("a list without an end was accepted")
			}
		})
	}
	calls.Wait()
	if got := server.OpenPeak(); got > smallestMemoryBytes/4 {
		t.Errorf("%d bytes in memory, want at most a quarter of it", got)
	}
}

// TestRedirectsAreNotFollowed guards against an upstream or a store in trouble that sends a
// VM to other hosts.
func TestRedirectsAreNotFollowed(t *testing.T) {
	t.Parallel()
	address := netip.MustParseAddrPort("10.0.0.1:80")
	for _, call := range []string{"report", "order", "events", "store", "write"} {
		t.Run(call, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := flooder.New(flooder.Redirect)
			g := &gateway{dial: server.Dial}
			is.True(endlessCalls[call](t.Context(), g.newClient(), nil, address) != nil)
			for _, dialled := range server.Addresses() {
				is.Equal(dialled, address.String())
			}
		})
	}
}
