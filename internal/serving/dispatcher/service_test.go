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

// serviceRow is one fault on the way of one call.
type serviceRow struct {
	Name   string `json:"name"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Faults strike upstream 0, Faults1 upstream 1.
	Faults  []disrupter.Fault `json:"faults"`
	Faults1 []disrupter.Fault `json:"faults_1"`
	// Down lists upstreams that refuse connections.
	Down []int `json:"down"`
	// CutAfter breaks connections to upstream 0 after that many bytes, 0 never
	// and -1 before the first byte.
	CutAfter int `json:"cut_after"`
	// Status is the answer to expect, Kind the error.
	Status int             `json:"status"`
	Kind   classifier.Kind `json:"kind"`
	// Runs is the number of runs over both ledgers.
	Runs int `json:"runs"`
	// WithinMillis bounds the time of the answer.
	WithinMillis int64 `json:"within_millis"`
}

func TestCallsRunAtMostOnceAndRefusalsAreTrue(t *testing.T) {
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

// serviceBench is one router path before two servers of a plain service.
type serviceBench struct {
	net       *piper.Network
	recorders []*recorder.Recorder
	chooser   *inOrder
	dispatch  *dispatcher.Dispatcher
}

func newServiceBench(t *testing.T, row serviceRow) *serviceBench {
	t.Helper()
	b := &serviceBench{net: piper.New(), chooser: newInOrder(2)}
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
	b.dispatch = dispatcher.New(dispatcher.Config{
		Caller: calls, Chooser: b.chooser, Log: quiet(),
		Claims: claimer.New(claimer.Config{Store: keeper.New(), Log: quiet()}),
	})
	return b
}

func (b *serviceBench) runs() int {
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
	b := newServiceBench(t, row)
	defer synctest.Wait()
	defer b.net.Close()
	job := newServiceJob(row.Method, row.Path, key, body)
	start := time.Now()
	answer, err := b.dispatch.Call(t.Context(), job)
	is.True(time.Since(start) <= time.Duration(row.WithinMillis)*time.Millisecond) // in time
	is.Equal(b.runs(), row.Runs)                                                   // the ledgers
	is.True(b.chooser.balanced())
	if row.Kind == "" {
		is.NoErr(err)
		is.Equal(answer.Status, row.Status)
	} else {
		is.Equal(classifier.KindOf(err), row.Kind)
		notRun := classifier.AnswerOf(row.Kind).NotRun
		is.True(!notRun || b.runs() == 0) // a refusal that says "not run" is true
	}
	if key == "" || job.Service.Idempotent(row.Method, row.Path) {
		return
	}
	checkSecondArrival(t, is, b, job, row)
}

// checkSecondArrival sends the same call with the same key once more.
func checkSecondArrival(t *testing.T, is *is.I, b *serviceBench, job dispatcher.ServiceJob, row serviceRow) {
	is.Helper()
	job.ID = "request-2"
	_, err := b.dispatch.Call(t.Context(), job)
	if row.Kind != "" && classifier.AnswerOf(row.Kind).NotRun {
		is.True(!classifier.IsKind(err, classifier.AlreadyClaimed)) // a call that did not run may come again
		return
	}
	is.Equal(classifier.KindOf(err), classifier.AlreadyClaimed)
	is.Equal(b.runs(), row.Runs) // nothing ran again
	job.Body = []byte("another")
	_, err = b.dispatch.Call(t.Context(), job)
	is.Equal(classifier.KindOf(err), classifier.IdempotencyConflict)
	is.Equal(b.runs(), row.Runs)
}
