package forwarder_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/platform"
	"gentianstep.example/gentianstep/platform/platformtest"
)

const (
	// drainBound is the longest time after a response with a notice of leaving in
	// which requests may arrive.
	drainBound = 2500 * time.Millisecond
	// requestsAtOnce is the number of requests of one step.
	requestsAtOnce = 20
)

// restartRow is an upstream that starts again under its ID, and of whose processes one
// states something about itself.
type restartRow struct {
	Name string `json:"name"`
	// EarlierLeaves is true if the earlier process states that it leaves.
	EarlierLeaves bool `json:"earlier_leaves"`
	// LaterLeaves is true if the later process does, HoldOff its Retry-After.
	LaterLeaves bool   `json:"later_leaves"`
	HoldOff     string `json:"hold_off"`
	// Report is true if a report brings the statement, not a client's request.
	Report bool `json:"report"`
	// EntryDelayMS is the time between the statement and the entry of the later process.
	EntryDelayMS int `json:"entry_delay_ms"`
	// ClockMS is how far the clock of the upstream is ahead.
	ClockMS int `json:"clock_ms"`
	// Used is true if the later process is to get requests within 2 s of its entry.
	Used bool `json:"used"`
}

// TestRestartedUpstreamThatLeavesGetsNoRequests guards against a statement of a process
// that is credited to an earlier one under its ID, whose entry was still there.
func TestRestartedUpstreamThatLeavesGetsNoRequests(t *testing.T) {
	t.Parallel()
	var rows []restartRow
	scripter.Read(t, "testdata/restarts.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runRestartRow(t, row) })
		})
	}
}

func runRestartRow(t *testing.T, row restartRow) {
	f := newFixture(t, 2)
	clock := time.Duration(row.ClockMS) * time.Millisecond
	earlier, other := f.entry(0), f.entry(1)
	earlier.StartedAt, other.StartedAt = time.Now().Add(clock), time.Now()
	f.setEntries([]*registrar.Upstream{earlier, other})
	time.Sleep(time.Minute)
	if row.EarlierLeaves {
		f.workers[0].SetLeaving("1")
		f.sendRequests(t, "before")
	}
	f.restart(0, f.workers[0].ID)
	startedAt := time.Now().Add(clock)
	time.Sleep(500 * time.Millisecond)
	if row.LaterLeaves {
		f.workers[0].SetLeaving("1")
	}
	if row.HoldOff != "" {
		f.workers[0].RefuseNext(row.HoldOff)
	}
	if row.Report {
		engines := platform.EngineClient{HTTPClient: &http.Client{Transport: f.client.Transport}, Noticer: f.noticer}
		_, _ = engines.Report(t.Context(), earlier) // its statement is all that matters
	} else {
		f.sendRequests(t, "restarted")
	}
	time.Sleep(time.Duration(row.EntryDelayMS) * time.Millisecond)
	later := f.entry(0)
	later.StartedAt = startedAt
	f.setEntries([]*registrar.Upstream{later, other})
	if row.Used {
		time.Sleep(100 * time.Millisecond)
		f.sendRequests(t, "entry")
		time.Sleep(1900 * time.Millisecond)
		before := arrivalsByWorker(f)[0]
		f.sendRequests(t, "used")
		if arrivalsByWorker(f)[0] == before {
			t.Error("the later process got no request within 2 s of its entry")
		}
		return
	}
	time.Sleep(max(drainBound-time.Duration(row.EntryDelayMS)*time.Millisecond, 0) + time.Millisecond)
	before := arrivalsByWorker(f)[0]
	for n := range 20 {
		f.sendRequests(t, fmt.Sprint("bound ", n))
		time.Sleep(250 * time.Millisecond)
	}
	if got := arrivalsByWorker(f)[0] - before; got > 0 {
		t.Errorf("%d requests reached the later process", got)
	}
}

// sendRequests sends requests on all routes that may be sent again, one after the other.
func (f *fixture) sendRequests(t *testing.T, name string) {
	t.Helper()
	for n := range requestsAtOnce {
		route := []string{"idempotent", "resumable"}[n%2]
		if a := f.do(f.request(t, route, fmt.Sprint(name, " ", n))); a.err != nil || a.status != http.StatusOK {
			t.Errorf("request %s %d: got status %d, error %v", name, n, a.status, a.err)
		}
	}
}

// restart starts another process at the address of a worker, without an entry. It returns
// the process before.
func (f *fixture) restart(n int, id string) *platformtest.Worker {
	ended := f.workers[n]
	address := workerAddress(n).String()
	f.network.Stop(address)
	w := platformtest.NewWorker(id)
	w.SetModel("m", 1)
	w.StartedAtMS = time.Now().UnixMilli()
	f.workers[n] = w
	f.network.Serve(address, w)
	return ended
}
