package forwarder_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/throttler"
	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/platform/platformtest"
)

// repeatRow is an earlier response that a worker sends once more on a kept connection,
// instead of the response to a request that it has run.
type repeatRow struct {
	Name   string            `json:"name"`
	Status int               `json:"status"`
	Header map[string]string `json:"header"`
	Body   string            `json:"body"`
	// SameRequest is true if the earlier response was to the same request, which the worker
	// got first under the ID of an instance that it has replaced.
	SameRequest bool `json:"same_request"`
}

// repeater is a worker that answers the request "id-1" as its row says. A connection that
// serves one request only has carried no earlier response.
type repeater struct {
	worker   *platformtest.Worker
	row      repeatRow
	repeated atomic.Bool
}

// ServeHTTP implements http.Handler.
func (p *repeater) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	meant := r.Header.Get("Request-Id") == "id-1" && r.Header.Get("Expect-Instance") == p.worker.ID
	if !meant || r.Close || p.repeated.Swap(true) {
		p.worker.ServeHTTP(w, r)
		return
	}
	p.worker.ServeHTTP(httptest.NewRecorder(), r)
	for name, value := range p.row.Header {
		w.Header().Set(name, value)
	}
	w.WriteHeader(p.row.Status)
	_, _ = io.WriteString(w, p.row.Body) // fails if the client has left
}

// TestRepeatedResponses guards against the belief in a response that a worker has sent
// before: to a request that has run, the statement that it was not run.
func TestRepeatedResponses(t *testing.T) {
	t.Parallel()
	var rows []repeatRow
	scripter.Read(t, "testdata/repeated_responses.json", &rows)
	for _, row := range rows {
		routes := []string{"non_idempotent", "stream", "idempotent", "resumable"}
		if !row.SameRequest {
			routes = append(routes, "once") // it allows no second attempt
		}
		for _, route := range routes {
			t.Run(route+": "+row.Name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { checkRepeatRow(t, row, route) })
			})
		}
	}
}

// serveRepeater sends a request over a connection to a repeater, which is then kept, and
// returns its entry. It is chosen before the other worker.
func (f *fixture) serveRepeater(t *testing.T, row repeatRow, route string) *registrar.Upstream {
	t.Helper()
	first, second := f.entry(0), f.entry(1)
	second.AvailabilityZone = "far"
	f.network.Stop(first.Address.String())
	f.network.Serve(first.Address.String(), &repeater{worker: f.workers[0], row: row})
	f.directory.setUpstreams([]*registrar.Upstream{first})
	is.New(t).Equal(f.do(f.request(t, route, "earlier")).status, http.StatusOK)
	f.directory.setUpstreams([]*registrar.Upstream{first, second})
	return first
}

func checkRepeatRow(t *testing.T, row repeatRow, route string) {
	is := is.New(t)
	f := newFixture(t, 2)
	first := f.serveRepeater(t, row, route)
	if row.SameRequest {
		replaced := f.entry(0)
		replaced.ID = "replaced"
		first.AvailabilityZone = "far"
		f.directory.setUpstreams([]*registrar.Upstream{replaced, first})
	}
	a := f.do(f.request(t, route, "id-1"))
	is.NoErr(a.err)
	repeatable := slices.Contains([]string{"idempotent", "resumable"}, route)
	if !repeatable && !row.SameRequest {
		is.Equal(a.status, http.StatusBadGateway)
		is.True(strings.Contains(a.body, "outcome_unknown"))
		is.Equal(f.runsOf("id-1"), 1)
		return
	}
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.body, wholeBody(faultRow{Route: route}))
	if row.SameRequest {
		is.Equal(f.runsOf("id-1"), 1)
	}
}

// runsOf counts the runs of a request.
func (f *fixture) runsOf(id string) int {
	n := 0
	for _, w := range f.workers {
		for _, run := range w.Runs() {
			if run.ID == id {
				n++
			}
		}
	}
	return n
}

// repeatedNoticeRow is a repeated response that states something about its worker, which has
// a limit of 20.
type repeatedNoticeRow struct {
	Name   string    `json:"name"`
	Repeat repeatRow `json:"repeat"`
	// Limit, Leaving and HeldMS are what the VM believes after it.
	Limit   float64 `json:"limit"`
	Leaving bool    `json:"leaving"`
	HeldMS  int64   `json:"held_ms"`
}

// TestRepeatedNotices guards against the end or the increase of a limit by a response of
// before. A departure and a hold-off are believed: ignoring a true one would send requests
// to an upstream that wants none.
func TestRepeatedNotices(t *testing.T) {
	t.Parallel()
	var rows []repeatedNoticeRow
	scripter.Read(t, "testdata/repeated_notices.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, 2)
				f.noticer.SetFleet(throttler.NewFleet("vm", []string{"vm"}))
				f.workers[0].SetLimit("20")
				u := f.serveRepeater(t, row.Repeat, "idempotent")
				f.directory.setUpstreams([]*registrar.Upstream{u})
				time.Sleep(500 * time.Millisecond) // the limit allows a request again
				is.Equal(f.do(f.request(t, "non_idempotent", "id-1")).status, http.StatusBadGateway)
				limit, _, _ := f.noticer.Limit(time.Now(), u)
				is.Equal(limit, row.Limit)
				is.Equal(len(f.noticer.Departures()) > 0, row.Leaving)
				is.Equal(max(time.Until(f.noticer.HeldUntil(u)).Milliseconds(), 0), row.HeldMS)
			})
		})
	}
}
