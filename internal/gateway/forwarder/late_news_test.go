package forwarder_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/routing/budgeter"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// newsRow is a request that waits at an engine with version 1 while what the VM knows
// changes. Times count from when version 2 of the weights was named.
type newsRow struct {
	Name string `json:"name"`
	// Known is the version that the VM knows of the engine when it sends.
	Known  uint64 `json:"known"`
	SentMS int    `json:"sent_ms"`
	// NamedMS is when each version from 2 on was named, LearnedMS when the VM
	// learns of it.
	NamedMS   []int `json:"named_ms"`
	LearnedMS []int `json:"learned_ms"`
	FreedMS   int   `json:"freed_ms"`
	// ReportedMS is when the VM is told that the engine has version 2; 0 for never.
	ReportedMS int `json:"reported_ms"`
	// ReducedMS is when the limit is reduced to LimitMS; 0 for never.
	ReducedMS int `json:"reduced_ms"`
	LimitMS   int `json:"limit_ms"`
}

// TestLateNewsWithdrawsWaitingRequests guards against requests that begin on older
// weights because what the VM knows has changed, or was wrong, while they waited.
func TestLateNewsWithdrawsWaitingRequests(t *testing.T) {
	t.Parallel()
	var rows []newsRow
	scripter.Read(t, "testdata/late_news.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { checkNewsRow(t, row) })
		})
	}
}

func checkNewsRow(t *testing.T, row newsRow) {
	is := is.New(t)
	f := newFixture(t, 1)
	f.configureLongTimeouts()
	f.workers[0].Slots = 1
	f.workers[0].OccupySlots(1)
	f.directory.Usable("s")[0].Weights = map[string]uint64{"m": row.Known}
	named := time.Now().Add(5 * time.Second)
	at := func(ms int, do func()) {
		time.AfterFunc(time.Until(named.Add(time.Duration(ms)*time.Millisecond)), do)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go f.forwarder.Run(ctx)
	versions := make([]informer.Weights, 0, len(row.LearnedMS))
	for n, learned := range row.LearnedMS {
		versions = append(versions, informer.Weights{Version: uint64(n) + 2, Since: named.Add(time.Duration(row.NamedMS[n]) * time.Millisecond)})
		wanted := versions[:n+1]
		at(learned, func() {
			f.directory.setWeights(wanted...)
			f.forwarder.CheckWaiting()
		})
	}
	if row.ReportedMS != 0 {
		at(row.ReportedMS, func() { f.reportWeights(t, 2) })
	}
	limit := weightsApply
	if row.ReducedMS != 0 {
		limit = time.Duration(row.LimitMS) * time.Millisecond
		at(row.ReducedMS, func() {
			f.forwarder.SetBounds(budgeter.Config{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}, limit)
		})
	}
	at(row.FreedMS, func() { f.workers[0].FreeSlots(1) })

	time.Sleep(time.Until(named.Add(time.Duration(row.SentMS) * time.Millisecond)))
	r := f.request(t, "once", "id-1")
	r.Header.Set("Deadline-Ms", "15000")
	a := f.do(r)
	time.Sleep(longTimeout)
	for _, run := range f.workers[0].Runs() {
		is.True(run.WeightsVersion >= 2 || !run.BeganAt.After(named.Add(limit))) // not on older weights after the limit
	}
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusBadGateway)
	is.Equal(f.runs(), 0)
	is.Equal(f.arrivals(), 1)
}

// TestRequestsRunWithoutLimitForWeights guards against requests that are withdrawn at once
// though no newer weights are wanted, because the settings name no limit.
func TestRequestsRunWithoutLimitForWeights(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 1)
		f.workers[0].EventInterval = 100 * time.Millisecond
		f.workers[0].PrefillPerToken = time.Millisecond
		f.forwarder.SetBounds(budgeter.Config{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}, 0)
		is.Equal(f.do(f.request(t, "stream", "id-1")).status, http.StatusOK)
	})
}
