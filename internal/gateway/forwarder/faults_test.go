package forwarder_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/platform/platformtest"
)

// faultRow is a request to workers with faults and the expected outcome.
type faultRow struct {
	Name  string `json:"name"`
	Route string `json:"route"`
	// Faults lists the faults of the successive attempts.
	Faults []platformtest.WorkerFault `json:"faults"`
	Status int                        `json:"status"`
	// Runs counts the attempts that a worker ran, Arrivals those that reached a
	// worker; Arrivals is not checked if 0.
	Runs     int `json:"runs"`
	Arrivals int `json:"arrivals"`
	// Outcome is whole (a complete response), signed (an error response of a
	// worker), refused (the gateway states that the request was not run),
	// failed (another error of the gateway), or cut (the connection is aborted
	// within the response).
	Outcome     string `json:"outcome"`
	RetryAfter  bool   `json:"retry_after"`
	WithinMS    int    `json:"within_ms"`
	ResumeAfter string `json:"resume_after"`
}

func TestUpstreamFaults(t *testing.T) {
	t.Parallel()
	var rows []faultRow
	scripter.Read(t, "testdata/faults.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { checkFaultRow(t, row) })
		})
	}
}

func checkFaultRow(t *testing.T, row faultRow) {
	is := is.New(t)
	f := newFixture(t, 3)
	faults := &platformtest.Faults{}
	faults.Add(row.Faults...)
	for _, w := range f.workers {
		w.Faults = faults
	}
	r := f.request(t, row.Route, "id-1")
	if row.ResumeAfter != "" {
		r.Header.Set("Last-Event-Id", row.ResumeAfter)
	}
	a := f.do(r)
	is.Equal(a.status, row.Status)
	is.Equal(f.runs(), row.Runs)
	if row.Arrivals > 0 {
		is.Equal(f.arrivals(), row.Arrivals)
	}
	checkOutcome(t, row, a)
	is.Equal(a.header.Get("Retry-After") != "", row.RetryAfter)
	if row.WithinMS > 0 {
		is.True(a.took <= time.Duration(row.WithinMS)*time.Millisecond)
	}
	is.Equal(strings.Count(f.log.String(), `"event":"request"`), 1) // one log line per request
}

func checkOutcome(t *testing.T, row faultRow, a answer) {
	is := is.New(t)
	signature := a.header.Get("Server-Signature")
	switch row.Outcome {
	case "whole":
		is.NoErr(a.err)
		is.Equal(a.header.Get("Request-Id"), "id-1")
		is.True(signature != "")
		is.Equal(a.body, wholeBody(row))
	case "signed":
		is.NoErr(a.err)
		is.True(signature != "")
	case "refused", "failed":
		is.NoErr(a.err)
		is.Equal(signature, "") // the response comes from the gateway
	case "cut":
		is.True(a.err != nil)
		is.True(strings.HasPrefix(wholeBody(row), a.body)) // all data before the abort is correct
	default:
		t.Fatalf("unknown outcome %q", row.Outcome)
	}
}

// wholeBody returns the complete body that a worker without faults sends.
func wholeBody(row faultRow) string {
	if row.Route == "idempotent" || row.Route == "non_idempotent" {
		return "answer to id-1"
	}
	first := 1
	if row.ResumeAfter != "" {
		_, _ = fmt.Sscan(row.ResumeAfter, &first)
		first++
	}
	var body strings.Builder
	for n := first; n <= 4; n++ {
		fmt.Fprintf(&body, "id: %d\ndata: token %d of id-1\n\n", n, n)
	}
	return body.String()
}
