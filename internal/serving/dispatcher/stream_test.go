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

// streamRow is one fault on the way of one stream.
type streamRow struct {
	Name string `json:"name"`
	// Engines is the number of engines; 0 takes 2.
	Engines int `json:"engines"`
	// Faults strike engine 0, Faults1 engine 1.
	Faults  []disrupter.Fault `json:"faults"`
	Faults1 []disrupter.Fault `json:"faults_1"`
	// Warm sends a whole request first, so that a used connection is pooled.
	Warm bool `json:"warm"`
	// Do happens at engine 0 when the caller gets chunk AtChunk, or before the
	// request where that is 0.
	Do      string `json:"do"`
	AtChunk uint64 `json:"at_chunk"`
	// PrefillMillis is the time that engines compute a prompt, 0 takes 1.
	PrefillMillis int `json:"prefill_millis"`
	// TotalMillis is total_timeout, 0 takes that of the other rows.
	TotalMillis int `json:"total_millis"`
	// Pinned forbids to continue elsewhere.
	Pinned bool `json:"pinned"`
	// Kind is the error to expect, empty for a whole answer.
	Kind classifier.Kind `json:"kind"`
	// Passed is the least number of chunks before an error.
	Passed int `json:"passed"`
	// Requests are the requests that each engine began, after a warming one.
	Requests  []int `json:"requests"`
	Resumed   int   `json:"resumed"`
	Continued int   `json:"continued"`
	// Cancelled is the number of streams that the engines cancelled.
	Cancelled int `json:"cancelled"`
	// WithinMillis bounds the time of the answer.
	WithinMillis int64 `json:"within_millis"`
}

// bench is one router path before engines.
type bench struct {
	net      *piper.Network
	engines  []*generator.Engine
	retired  []*generator.Engine
	caller   *caller.Caller
	chooser  *inOrder
	dispatch *dispatcher.Dispatcher
	counters *tally
}

func newBench(row streamRow) *bench {
	n := row.Engines
	if n == 0 {
		n = 2
	}
	b := &bench{net: piper.New(), chooser: newInOrder(n), counters: newTally()}
	for i := range n {
		engine := newEngineOf(fmt.Sprintf("up-%d", i), 1, max(1, row.PrefillMillis))
		b.engines = append(b.engines, engine)
		b.net.Serve(addressOf(i).String(), generator.Handler(engine))
	}
	b.caller = caller.New(caller.Config{Dial: b.net.Dial})
	b.dispatch = dispatcher.New(dispatcher.Config{
		Caller: b.caller, Chooser: b.chooser, Log: quiet(), Count: b.counters.add,
	})
	return b
}

// disrupt puts faults before engine i, keeping the pooled connections.
func (b *bench) disrupt(is *is.I, i int, faults []disrupter.Fault) {
	d := disrupter.New(generator.Handler(b.engines[i]))
	is.NoErr(d.Inject(faults...))
	b.net.Host(addressOf(i).String()).Handle(d)
}

func (b *bench) close() {
	b.caller.Close()
	b.net.Close()
	synctest.Wait()
}

// act does what a row asks for at engine 0.
func (b *bench) act(what string, cancel context.CancelFunc) {
	address := addressOf(0).String()
	switch what {
	case "kill":
		b.net.Stop(address)
	case "restart":
		b.net.Stop(address)
		b.retired = append(b.retired, b.engines[0])
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

// taker is a caller that checks the order of what it gets.
type taker struct {
	is     *is.I
	id     string
	text   string
	got    uint64
	ended  bool
	onPass func(n uint64)
}

// Chunk implements dispatcher.Sink.
func (s *taker) Chunk(n uint64, c encoder.Chunk) error {
	s.is.Equal(n, s.got+1) // chunks come in order, each once
	s.is.Equal(c.ID, s.id) // and belong to the request
	s.got = n
	s.text += c.Text()
	s.ended = c.Finished() != ""
	if s.onPass != nil {
		s.onPass(n)
	}
	return nil
}

func TestStreamsAreWholeOrEndWithAnError(t *testing.T) {
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
	b := newBench(row)
	defer b.close()
	if row.Warm {
		is.NoErr(b.dispatch.Complete(t.Context(), newJob("warm", "warm", 1), &taker{is: is, id: "warm"}))
	}
	b.disrupt(is, 0, row.Faults)
	if len(b.engines) > 1 {
		b.disrupt(is, 1, row.Faults1)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	job := newJob("request", row.Name, streamTokens)
	job.Model.ContinueElsewhere = !row.Pinned
	if row.TotalMillis > 0 {
		job.Bundle.Policy.Streams.TotalTimeout = checker.Duration(time.Duration(row.TotalMillis) * time.Millisecond)
	}
	sink := &taker{is: is, id: "request", onPass: func(n uint64) {
		if n == row.AtChunk {
			b.act(row.Do, cancel)
		}
	}}
	if row.AtChunk == 0 {
		b.act(row.Do, cancel)
		synctest.Wait()
	}
	start := time.Now()
	err := b.dispatch.Complete(ctx, job, sink)
	elapsed := time.Since(start)
	checkAnswer(is, row, err, sink)
	is.True(elapsed <= time.Duration(row.WithinMillis)*time.Millisecond) // in time
	time.Sleep(cancelBound)                                              // the virtual clock lets cancellations arrive
	b.checkCounts(is, row)
}

// cancelBound is the time by which the work of an abandoned stream has stopped.
const cancelBound = 2 * time.Second

func checkAnswer(is *is.I, row streamRow, err error, sink *taker) {
	is.Helper()
	if row.Kind == "" {
		is.NoErr(err)
		is.Equal(sink.text, answerOf(row.Name, streamTokens)) // the whole answer
		is.True(sink.ended)                                   // with its finish reason
		return
	}
	is.Equal(classifier.KindOf(err), row.Kind)
	is.True(int(sink.got) >= row.Passed)
	is.True(!sink.ended)
	is.Equal(sink.text, answerOf(row.Name, int(sink.got))) // the part that came is right
}

func (b *bench) checkCounts(is *is.I, row streamRow) {
	is.Helper()
	cancelled := 0
	for i, engine := range b.engines {
		stats := engine.Stats()
		cancelled += stats.Cancelled
		if row.Warm && i == 0 && len(b.retired) == 0 {
			stats.Requests--
		}
		if i < len(row.Requests) {
			is.Equal(stats.Requests, row.Requests[i]) // requests of the engine
		}
	}
	is.Equal(cancelled, row.Cancelled)
	is.Equal(b.counters.of(dispatcher.Resumed), row.Resumed)
	is.Equal(b.counters.of(dispatcher.Continued), row.Continued)
	is.True(b.chooser.balanced()) // each attempt ended once
}

func TestIdleConnectionsAreSuspectTogether(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(streamRow{Engines: 1})
		defer b.close()
		const warm = 3
		var group sync.WaitGroup
		for n := range warm {
			id := fmt.Sprintf("warm-%d", n)
			group.Go(func() {
				_ = b.dispatch.Complete(t.Context(), newJob(id, id, streamTokens), &taker{is: is, id: id})
			})
		}
		group.Wait()
		b.act("lose_connections", nil)
		for n, bound := range []time.Duration{4 * time.Second, time.Second, time.Second} {
			id := fmt.Sprintf("request-%d", n)
			start := time.Now()
			is.NoErr(b.dispatch.Complete(t.Context(), newJob(id, id, streamTokens), &taker{is: is, id: id}))
			is.True(time.Since(start) <= bound) // only the first request meets the silence
		}
	})
}
