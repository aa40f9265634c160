package dispatcher_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/serving/claimer"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
	"gentianstep.example/gentianstep/internal/standin/disrupter"
	"gentianstep.example/gentianstep/internal/standin/keeper"
	"gentianstep.example/gentianstep/internal/standin/recorder"
	"gentianstep.example/gentianstep/internal/testing/piper"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// serviceRow is one test case: a call with the faults injected into it.
type serviceRow struct {
	Name   string `json:"name"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Faults apply to upstream 0, Faults1 to upstream 1.
	Faults  []disrupter.Fault `json:"faults"`
	Faults1 []disrupter.Fault `json:"faults_1"`
	// Down lists upstreams that refuse connections.
	Down []int `json:"down"`
	// CutAfter is the number of bytes after which connections to upstream 0
	// break: 0 for never, -1 for before the first byte.
	CutAfter int `json:"cut_after"`
	// Status is the expected HTTP status, Kind the expected error kind.
	Status int             `json:"status"`
	Kind   classifier.Kind `json:"kind"`
	// Runs is the expected number of runs at both upstreams.
	Runs int `json:"runs"`
	// WithinMillis is the maximum time until the answer.
	WithinMillis int64 `json:"within_millis"`
}

func TestServiceCallsRunAtMostOnceAndReportNotRunCorrectly(t *testing.T) {
	t.Parallel()
	for _, row := range readRows[serviceRow](t, "services.json") {
		for _, key := range []string{"", "order-1"} {
			for _, body := range []string{"", "{}"} {
				t.Run(fmt.Sprintf("%s/key=%s/body=%s", row.Name, key, body), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { runServiceRow(t, row, key, body) })
				})
			}
		}
	}
}

// serviceFixture is a dispatcher with two upstreams of a plain service.
type serviceFixture struct {
	net        *piper.Network
	recorders  []*recorder.Recorder
	chooser    *orderedChooser
	dispatcher *dispatcher.Dispatcher
}

func newServiceFixture(t *testing.T, row serviceRow) *serviceFixture {
	t.Helper()
	b := &serviceFixture{net: piper.New(), chooser: newOrderedChooser(2)}
	for i, faults := range [][]disrupter.Fault{row.Faults, row.Faults1} {
		r := recorder.New(fmt.Sprintf("up-%d", i))
		d := disrupter.New(r)
		is.New(t).NoErr(d.Inject(faults...))
		b.recorders = append(b.recorders, r)
		b.net.Serve(addressOf(i).String(), d)
	}
	for _, i := range row.Down {
		b.net.Stop(addressOf(i).String())
	}
	if row.CutAfter != 0 {
		b.net.Cut(addressOf(0).String(), max(0, row.CutAfter))
	}
	calls := caller.New(caller.Config{Dial: b.net.Dial})
	b.dispatcher = dispatcher.New(dispatcher.Config{
		Caller: calls, Chooser: b.chooser, Log: discardLog(),
		Claims: claimer.New(claimer.Config{Store: keeper.New(), Log: discardLog()}),
	})
	return b
}

func (b *serviceFixture) runs() int {
	n := 0
	for _, r := range b.recorders {
		n += len(r.Ledger())
	}
	return n
}

func newServiceJob(method, path, key, body string) dispatcher.ServiceJob {
	return dispatcher.ServiceJob{
		ID: "request",
		Bundle: &checker.Bundle{Policy: checker.Policy{
			Attempts: checker.AttemptPolicy{MaxAttempts: 3},
			Streams:  streamPolicy(),
		}},
		Organisation: checker.Organisation{Name: "kliek-teels"},
		Service: checker.Service{Name: "sample-desk", Calls: []checker.Call{
			{Method: http.MethodGet, Path: "/stock/*", Idempotent: true},
			{Method: http.MethodPost, Path: "/orders"},
		}},
		Method: method, Path: path, IdempotencyKey: key, Body: []byte(body),
	}
}

func runServiceRow(t *testing.T, row serviceRow, key, body string) {
	is := is.New(t)
	b := newServiceFixture(t, row)
	defer synctest.Wait()
	defer b.net.Close()
	job := newServiceJob(row.Method, row.Path, key, body)
	start := time.Now()
	answer, err := b.dispatcher.Call(t.Context(), job)
	is.True(time.Since(start) <= time.Duration(row.WithinMillis)*time.Millisecond) // the answer is in time
	is.Equal(b.runs(), row.Runs)                                                   // the upstreams recorded the expected runs
	is.True(b.chooser.allEndedOnce())                                              // each attempt ended exactly once
	if row.Kind == "" {
		is.NoErr(err)
		is.Equal(answer.Status, row.Status)
	} else {
		is.Equal(classifier.KindOf(err), row.Kind)
		notRun := classifier.AnswerOf(row.Kind).NotRun
		is.True(!notRun || b.runs() == 0) // a call that was reported as not run did not run
	}
	if key == "" || job.Service.Idempotent(row.Method, row.Path) {
		return
	}
	checkRepeatedKey(t, is, b, job, row)
}

// checkRepeatedKey repeats the call with the same idempotency key, then sends
// another body with that key.
func checkRepeatedKey(t *testing.T, is *is.I, b *serviceFixture, job dispatcher.ServiceJob, row serviceRow) {
	is.Helper()
	job.ID = "request-2"
	_, err := b.dispatcher.Call(t.Context(), job)
	if row.Kind != "" && classifier.AnswerOf(row.Kind).NotRun {
		is.True(!classifier.IsKind(err, classifier.AlreadyClaimed)) // a call that did not run may be retried with its key
		return
	}
	is.Equal(classifier.KindOf(err), classifier.AlreadyClaimed)
	is.Equal(b.runs(), row.Runs) // the repeated call did not run
	job.Body = []byte("another")
	_, err = b.dispatcher.Call(t.Context(), job)
	is.Equal(classifier.KindOf(err), classifier.IdempotencyConflict)
	is.Equal(b.runs(), row.Runs) // the call with another body did not run
}
