package forwarder_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/peering/coordinator"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

const (
	// weightsApply is the limit of the fixture for older weights.
	weightsApply = 8 * time.Second
	// longTimeout is the timeout of routes whose requests wait at an engine.
	longTimeout = 15 * time.Second
)

// queueRow is a request that waits for a slot of an engine with older weights.
// Times count from when version 2 of the weights was named.
type queueRow struct {
	Name  string `json:"name"`
	Route string `json:"route"`
	// SentMS is when the request is sent, FreedMS when a slot becomes free.
	SentMS  int `json:"sent_ms"`
	FreedMS int `json:"freed_ms"`
	// LearnedMS is when the VM learns of version 2, at once by default. The version
	// counts from when it was named all the same.
	LearnedMS int `json:"learned_ms"`
	// SecondVersionMS is when version 3 is named; 0 for never.
	SecondVersionMS int `json:"second_version_ms"`
	// NewerMS is when another engine registers with the newest weights, OrderedMS
	// when the engine is ordered to change its weights; 0 for never.
	NewerMS   int `json:"newer_ms"`
	OrderedMS int `json:"ordered_ms"`
	// ChangedMS is when the engine changes to version 2 and keeps what waits,
	// ReportedMS when the VM is told that it has; 0 for never.
	ChangedMS       int `json:"changed_ms"`
	ReportedMS      int `json:"reported_ms"`
	EventIntervalMS int `json:"event_interval_ms"`
	// DelayMS is the time that bytes take from the VM to the engine, from SlowMS on if
	// that is set.
	DelayMS int `json:"delay_ms"`
	SlowMS  int `json:"slow_ms"`
	// KeptMS is how long before SentMS another request was served on a connection that
	// is kept; 0 for none.
	KeptMS int `json:"kept_ms"`
	Status int `json:"status"`
	// OtherRequests is the number of requests that other VMs have at the engine.
	OtherRequests int `json:"other_requests"`
	// Runs counts the requests that began at an engine. Unsent is true if none
	// was sent to one.
	Runs   int  `json:"runs"`
	Unsent bool `json:"unsent"`
}

// TestWaitingRequestsDoNotBeginOnOldWeights guards against requests that were
// sent in time, waited in the engine's queue and began after the limit.
func TestWaitingRequestsDoNotBeginOnOldWeights(t *testing.T) {
	t.Parallel()
	var rows []queueRow
	scripter.Read(t, "testdata/old_weights.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { checkQueueRow(t, row) })
		})
	}
}

func checkQueueRow(t *testing.T, row queueRow) {
	is := is.New(t)
	f := newFixture(t, 2)
	f.configureLongTimeouts()
	f.workers[1].SetModel("m", 3)
	newer := f.entry(1)
	newer.Weights = map[string]uint64{"m": 3}
	f.directory.setUpstreams(f.directory.Usable("s")[:1])
	f.workers[0].Slots = 1
	f.workers[0].EventInterval = time.Duration(row.EventIntervalMS) * time.Millisecond
	slow := func() { f.network.Delay(workerAddress(0).String(), time.Duration(row.DelayMS)*time.Millisecond) }
	named := time.Now().Add(5 * time.Second)
	versions := []informer.Weights{{Version: 2, Since: named}}
	at := func(ms int, do func()) {
		time.AfterFunc(time.Until(named.Add(time.Duration(ms)*time.Millisecond)), do)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go f.forwarder.Run(ctx)
	at(row.LearnedMS, func() {
		f.directory.setWeights(versions...)
		f.forwarder.CheckWaiting()
	})
	if row.SecondVersionMS != 0 {
		at(row.SecondVersionMS, func() {
			f.directory.setWeights(append(versions, informer.Weights{Version: 3, Since: time.Now()})...)
		})
	}
	if row.NewerMS != 0 {
		at(row.NewerMS, func() { f.directory.setUpstreams(append(f.directory.Usable("s"), newer)) })
	}
	if row.OrderedMS != 0 {
		at(row.OrderedMS, func() { f.workers[0].ChangeWeights("m", 2) })
	}
	if row.ChangedMS != 0 {
		at(row.ChangedMS, func() { f.workers[0].SetModel("m", 2) })
	}
	if row.SlowMS == 0 {
		slow()
	} else {
		at(row.SlowMS, slow)
	}
	kept := f.keepConnection(t, named.Add(time.Duration(row.SentMS-row.KeptMS)*time.Millisecond), row.KeptMS != 0)
	f.workers[0].OccupySlots(1)
	if row.ReportedMS != 0 {
		at(row.ReportedMS, func() { f.reportWeights(t, 2) })
	}
	at(row.FreedMS, func() { f.workers[0].FreeSlots(1) })

	time.Sleep(time.Until(named.Add(time.Duration(row.SentMS) * time.Millisecond)))
	is.NoErr(f.view.Apply(time.Now(), coordinator.State{
		Full: true, Names: []string{f.workers[0].ID},
		Loads: []coordinator.UpstreamLoad{{InFlight: row.OtherRequests}},
	}, nil))
	r := f.request(t, row.Route, "id-1")
	r.Header.Set("Deadline-Ms", "15000")
	a := f.do(r)
	time.Sleep(longTimeout)
	for _, run := range f.workers[0].Runs() {
		is.True(run.WeightsVersion >= 2 || !run.BeganAt.After(named.Add(weightsApply))) // not on older weights after the limit
	}
	is.NoErr(a.err)
	is.Equal(a.status, row.Status)
	is.Equal(a.header.Get("Retry-After") != "", row.Status == http.StatusServiceUnavailable)
	is.Equal(f.runs()-kept, row.Runs)
	is.Equal(f.arrivals()-kept == 0, row.Unsent)
	is.True(f.arrivals()-kept <= testConfiguration().Routes[0].MaxAttempts)
	is.Equal(strings.Count(f.log.String(), `"event":"request"`)-kept, 1)
	line := f.log.String()[strings.LastIndex(f.log.String(), `"event":"request"`):]
	is.True(kept == 0 || !strings.Contains(line, `"new_connection":true`)) // the kept one was used if any
}

// keepConnection has requests served at a time, if wanted, so that a connection is
// kept. It returns their number.
func (f *fixture) keepConnection(t *testing.T, at time.Time, wanted bool) int {
	t.Helper()
	if !wanted {
		return 0
	}
	time.Sleep(time.Until(at))
	const requests = 2 // the first may get a connection of its own
	for n := range requests {
		if a := f.do(f.request(t, "once", fmt.Sprint("kept-", n))); a.status != http.StatusOK {
			t.Fatalf("request that keeps a connection: status %d, error %v", a.status, a.err)
		}
	}
	return requests
}

// reportWeights tells the VM the weights of the first worker.
func (f *fixture) reportWeights(t *testing.T, version uint64) {
	t.Helper()
	state := coordinator.State{Engines: []coordinator.Engine{{Upstream: f.workers[0].ID, Weights: map[string]uint64{"m": version}}}}
	if err := f.view.Apply(time.Now(), state, nil); err != nil {
		t.Errorf("report weights %d of %s: %v", version, f.workers[0].ID, err)
	}
}

// configureLongTimeouts gives all routes a timeout that is longer than
// weightsApply.
func (f *fixture) configureLongTimeouts() {
	c := testConfiguration()
	for n := range c.Routes {
		c.Routes[n].Timeout, c.Routes[n].TargetLatency = longTimeout, longTimeout
	}
	f.directory.configure(c)
}

// TestRequestLineTellsWeights checks the fields that tell the causes of a request
// on older weights apart.
func TestRequestLineTellsWeights(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 1)
		f.configureLongTimeouts()
		f.directory.setWeights(informer.Weights{Version: 2, Since: time.Now()})
		time.Sleep(time.Second)
		is.Equal(f.do(f.request(t, "once", "id-1")).status, http.StatusOK)
		f.workers[0].Slots = 1
		f.workers[0].OccupySlots(1)
		r := f.request(t, "once", "id-2")
		r.Header.Set("Deadline-Ms", "15000")
		is.Equal(f.do(r).status, http.StatusBadGateway)
		var lines []map[string]any
		for line := range strings.Lines(f.log.String()) {
			var fields map[string]any
			is.NoErr(json.Unmarshal([]byte(line), &fields))
			if fields["event"] == "request" {
				lines = append(lines, fields)
			}
		}
		is.Equal(len(lines), 2)
		for _, fields := range lines {
			is.Equal(fields["weights"], 1.0)
			is.Equal(fields["wanted_weights"], 2.0)
			is.Equal(fields["wanted_age_ms"], 1000.0)
		}
		is.Equal(lines[0]["stated_weights"], 1.0)
		is.Equal(lines[0]["withdrawn"], nil)
		is.Equal(lines[1]["stated_weights"], nil)
		is.Equal(lines[1]["withdrawn"], 1.0)
	})
}
