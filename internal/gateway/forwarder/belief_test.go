package forwarder_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// beliefRow is an engine whose weights differ from those that the VM knows.
type beliefRow struct {
	Name string `json:"name"`
	// Known and Actual are the versions of the first engine. A second one, which
	// costs more, has the version Second; 0 for none.
	Known  uint64 `json:"known"`
	Actual uint64 `json:"actual"`
	Second uint64 `json:"second"`
	// NamedMS is how long ago each version from 2 on was named.
	NamedMS []int `json:"named_ms"`
	Tokens  int   `json:"tokens"`
	// Statuses are the statuses of successive requests, Begun the versions on
	// which they began, 0 for none.
	Statuses []int    `json:"statuses"`
	Begun    []uint64 `json:"begun"`
	// Refused counts the attempts that engines refused.
	Refused int `json:"refused"`
}

// TestWronglyKnownWeights guards against requests that begin on weights that are
// older than the VM believes: an order that was carried out late, or a restart,
// has brought older ones back.
func TestWronglyKnownWeights(t *testing.T) {
	t.Parallel()
	var rows []beliefRow
	scripter.Read(t, "testdata/wrong_weights.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { checkBeliefRow(t, row) })
		})
	}
}

func checkBeliefRow(t *testing.T, row beliefRow) {
	is := is.New(t)
	f := newFixture(t, 2)
	entries := f.directory.Usable("s")
	f.workers[0].SetModel("m", row.Actual)
	f.workers[1].SetModel("m", row.Second)
	entries[0].Weights = map[string]uint64{"m": row.Known}
	entries[1].Weights = map[string]uint64{"m": row.Second}
	entries[1].AvailabilityZone = "far"
	if row.Second == 0 {
		f.directory.setUpstreams(entries[:1])
	}
	wanted := make([]informer.Weights, 0, len(row.NamedMS))
	for n, age := range row.NamedMS {
		wanted = append(wanted, informer.Weights{Version: uint64(n) + 2, Since: time.Now().Add(-time.Duration(age) * time.Millisecond)})
	}
	f.directory.setWeights(wanted...)
	for n, status := range row.Statuses {
		before := f.runs()
		r := f.request(t, "stream", fmt.Sprint("id-", n))
		r.Header.Set("Token-Usage", fmt.Sprintf("%d,10", row.Tokens))
		a := f.do(r)
		var begun uint64
		if f.runs() > before {
			begun = f.lastRunWeights()
		}
		is.Equal(begun, row.Begun[n])
		is.Equal(a.status, status)
		is.Equal(a.header.Get("Retry-After") != "", status == http.StatusServiceUnavailable)
	}
	is.Equal(f.arrivals()-f.runs(), row.Refused)
}

// lastRunWeights returns the version of the weights on which the last request
// began.
func (f *fixture) lastRunWeights() uint64 {
	var version uint64
	var at time.Time
	for _, w := range f.workers {
		for _, run := range w.Runs() {
			if !run.BeganAt.Before(at) {
				version, at = run.WeightsVersion, run.BeganAt
			}
		}
	}
	return version
}
