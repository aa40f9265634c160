package dispatcher_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
	"gentianstep.example/gentianstep/internal/standin/disrupter"
	"gentianstep.example/gentianstep/internal/standin/generator"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/testing/piper"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

const streamTokens = 6

// streamRow is one test case: a stream with the faults injected into it.
type streamRow struct {
	Name string `json:"name"`
	// Engines is the number of engines; 0 means 2.
	Engines int `json:"engines"`
	// Faults apply to engine 0, Faults1 to engine 1.
	Faults  []disrupter.Fault `json:"faults"`
	Faults1 []disrupter.Fault `json:"faults_1"`
	// Warm completes another request first, so that the pool holds a used
	// connection.
	Warm bool `json:"warm"`
	// Do is the action applied to engine 0 when the caller receives chunk
	// AtChunk, or before the request if AtChunk is 0.
	Do      string `json:"do"`
	AtChunk uint64 `json:"at_chunk"`
	// PrefillMillis is the prefill time of one block; 0 means 1.
	PrefillMillis int `json:"prefill_millis"`
	// TotalMillis is total_timeout; 0 means the default of streamPolicy.
	TotalMillis int `json:"total_millis"`
	// Pinned disables ContinueElsewhere of the model.
	Pinned bool `json:"pinned"`
	// Kind is the expected error kind, empty for a complete answer.
	Kind classifier.Kind `json:"kind"`
	// Passed is the minimum number of chunks before an error.
	Passed int `json:"passed"`
	// Requests is the expected number of requests that each engine started,
	// without the request of Warm.
	Requests  []int `json:"requests"`
	Resumed   int   `json:"resumed"`
	Continued int   `json:"continued"`
	// Cancelled is the expected number of streams that the engines cancelled.
	Cancelled int `json:"cancelled"`
	// WithinMillis is the maximum time until the answer.
	WithinMillis int64 `json:"within_millis"`
}

// streamFixture is a dispatcher with simulated engines.
type streamFixture struct {
	net        *piper.Network
	engines    []*generator.Engine
	stopped    []*generator.Engine
	caller     *caller.Caller
	chooser    *orderedChooser
	dispatcher *dispatcher.Dispatcher
	counters   *eventCounter
}

func newStreamFixture(row streamRow) *streamFixture {
	n := row.Engines
	if n == 0 {
		n = 2
	}
	b := &streamFixture{net: piper.New(), chooser: newOrderedChooser(n), counters: newEventCounter()}
	for i := range n {
		engine := newEngineWithPrefill(fmt.Sprintf("up-%d", i), 1, max(1, row.PrefillMillis))
		b.engines = append(b.engines, engine)
		b.net.Serve(addressOf(i).String(), generator.Handler(engine))
	}
	b.caller = caller.New(caller.Config{Dial: b.net.Dial})
	b.dispatcher = dispatcher.New(dispatcher.Config{
		Caller: b.caller, Chooser: b.chooser, Log: discardLog(), Count: b.counters.add,
	})
	return b
}

// injectFaults injects faults into engine i and keeps the pooled connections.
func (b *streamFixture) injectFaults(is *is.I, i int, faults []disrupter.Fault) {
	d := disrupter.New(generator.Handler(b.engines[i]))
	is.NoErr(d.Inject(faults...))
	b.net.Host(addressOf(i).String()).Handle(d)
}

func (b *streamFixture) close() {
	b.caller.Close()
	b.net.Close()
	synctest.Wait()
}

// applyAction applies the action of a row to engine 0.
func (b *streamFixture) applyAction(action string, cancel context.CancelFunc) {
	address := addressOf(0).String()
	switch action {
	case "kill":
		b.net.Stop(address)
	case "restart":
		b.net.Stop(address)
		b.stopped = append(b.stopped, b.engines[0])
		b.engines[0] = newEngine("up-0", 2)
		b.net.Serve(address, generator.Handler(b.engines[0]))
	case "lose_connections":
		b.net.Lose(address, false)
	case "freeze":
		b.net.Lose(address, true)
	case "caller_gone":
		cancel()
	}
}

// recordingSink is a Sink that checks the order of the chunks and records their
// text.
type recordingSink struct {
	is       *is.I
	id       string
	text     string
	received uint64
	finished bool
	onChunk  func(n uint64)
}

// WriteChunk implements dispatcher.Sink.
func (s *recordingSink) WriteChunk(n uint64, c encoder.Chunk) error {
	s.is.Equal(n, s.received+1) // chunks arrive in order, each once
	s.is.Equal(c.ID, s.id)      // the chunk belongs to the request
	s.received = n
	s.text += c.Text()
	s.finished = c.FinishReason() != ""
	if s.onChunk != nil {
		s.onChunk(n)
	}
	return nil
}

func TestStreamsAreCompleteOrEndWithAnError(t *testing.T) {
	t.Parallel()
	for _, row := range readRows[streamRow](t, "streams.json") {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runStreamRow(t, row) })
		})
	}
}

func runStreamRow(t *testing.T, row streamRow) {
	is := is.New(t)
	b := newStreamFixture(row)
	defer b.close()
	if row.Warm {
		is.NoErr(b.dispatcher.Complete(t.Context(), newJob("warm", "warm", 1), &recordingSink{is: is, id: "warm"}))
	}
	b.injectFaults(is, 0, row.Faults)
	if len(b.engines) > 1 {
		b.injectFaults(is, 1, row.Faults1)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	job := newJob("request", row.Name, streamTokens)
	job.Model.ContinueElsewhere = !row.Pinned
	if row.TotalMillis > 0 {
		job.Bundle.Policy.Streams.TotalTimeout = checker.Duration(time.Duration(row.TotalMillis) * time.Millisecond)
	}
	sink := &recordingSink{is: is, id: "request", onChunk: func(n uint64) {
		if n == row.AtChunk {
			b.applyAction(row.Do, cancel)
		}
	}}
	if row.AtChunk == 0 {
		b.applyAction(row.Do, cancel)
		synctest.Wait()
	}
	start := time.Now()
	err := b.dispatcher.Complete(ctx, job, sink)
	elapsed := time.Since(start)
	checkAnswer(is, row, err, sink)
	is.True(elapsed <= time.Duration(row.WithinMillis)*time.Millisecond) // the answer is in time
	time.Sleep(cancelDelay)                                              // cancellations arrive on the virtual clock
	b.checkCounts(is, row)
}

// cancelDelay is the time within which the engines must have stopped the work of
// an abandoned stream.
const cancelDelay = 2 * time.Second

func checkAnswer(is *is.I, row streamRow, err error, sink *recordingSink) {
	is.Helper()
	if row.Kind == "" {
		is.NoErr(err)
		is.Equal(sink.text, expectedText(row.Name, streamTokens)) // the answer is complete
		is.True(sink.finished)                                    // the finish reason was received
		return
	}
	is.Equal(classifier.KindOf(err), row.Kind)
	is.True(int(sink.received) >= row.Passed)                       // enough chunks arrived before the error
	is.True(!sink.finished)                                         // no finish reason was received
	is.Equal(sink.text, expectedText(row.Name, int(sink.received))) // the partial answer is correct
}

func (b *streamFixture) checkCounts(is *is.I, row streamRow) {
	is.Helper()
	cancelled := 0
	for i, engine := range b.engines {
		stats := engine.Stats()
		cancelled += stats.Cancelled
		if row.Warm && i == 0 && len(b.stopped) == 0 {
			stats.Requests--
		}
		if i < len(row.Requests) {
			is.Equal(stats.Requests, row.Requests[i]) // requests that the engine started
		}
	}
	is.Equal(cancelled, row.Cancelled) // streams cancelled at the engines
	is.Equal(b.counters.count(dispatcher.Resumed), row.Resumed)
	is.Equal(b.counters.count(dispatcher.Continued), row.Continued)
	is.True(b.chooser.allEndedOnce()) // each attempt ended exactly once
}

// TestSilentConnectionClosesIdleConnections guards against each pooled connection
// costing one idle timeout after all of them were lost at the same time.
func TestSilentConnectionClosesIdleConnections(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newStreamFixture(streamRow{Engines: 1})
		defer b.close()
		const warm = 3
		var group sync.WaitGroup
		for n := range warm {
			id := fmt.Sprintf("warm-%d", n)
			group.Go(func() {
				_ = b.dispatcher.Complete(t.Context(), newJob(id, id, streamTokens), &recordingSink{is: is, id: id})
			})
		}
		group.Wait()
		b.applyAction("lose_connections", nil)
		for n, bound := range []time.Duration{4 * time.Second, time.Second, time.Second} {
			id := fmt.Sprintf("request-%d", n)
			start := time.Now()
			is.NoErr(b.dispatcher.Complete(t.Context(), newJob(id, id, streamTokens), &recordingSink{is: is, id: id}))
			is.True(time.Since(start) <= bound) // only the first request waits for the idle timeout
		}
	})
}
