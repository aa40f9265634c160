package dispatcher_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
	"gentianstep.example/gentianstep/internal/standin/generator"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/testing/piper"
	"gentianstep.example/gentianstep/internal/upstream/caller"
	"gentianstep.example/gentianstep/internal/upstream/isolator"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

const (
	crashText       = "deadly"
	crashUpstreams  = 12
	crashDownTime   = 3 * time.Second
	crashBound      = 3 * time.Second
	maxFreeCrashes  = 5
	maxLateArrivals = 3
)

// crashRow is a kind of requests under which upstreams crash. Sound ones share all but the
// text that makes them crash.
type crashRow struct {
	Name string `json:"name"`
	// Chat sends messages, of which one makes engines crash. Same repeats one request.
	// Shared makes the text the start of prompts.
	Chat   bool `json:"chat"`
	Same   bool `json:"same"`
	Shared bool `json:"shared"`
	// Service is the method of calls of a plain service, empty for prompts.
	Service string `json:"service"`
}

// crashFixture is a dispatcher before upstreams that crash.
type crashFixture struct {
	row        crashRow
	net        *piper.Network
	dispatcher *dispatcher.Dispatcher
	restarts   sync.WaitGroup

	mu       sync.Mutex
	ends     []time.Time
	arrivals []time.Time
}

// TestRequestsThatCrashUpstreamsAreNotSentOn guards against requests that end one upstream
// after the other since each is placed as if none had been there before.
func TestRequestsThatCrashUpstreamsAreNotSentOn(t *testing.T) {
	t.Parallel()
	for _, row := range readRows[crashRow](t, "crashes.json") {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runCrashRow(t, row) })
		})
	}
}

func runCrashRow(t *testing.T, row crashRow) {
	f := &crashFixture{row: row, net: piper.New()}
	calls := caller.New(caller.Config{Dial: f.net.Dial})
	defer synctest.Wait()
	defer f.net.Close()
	defer calls.Close()
	f.dispatcher = dispatcher.New(dispatcher.Config{
		Caller: calls, Chooser: newOrderedChooser(crashUpstreams), Log: discardLog(),
		Isolator: isolator.New(isolator.Config{Node: "vm", IsRefused: calls.IsRefused, Meter: meter.New(), Log: discardLog()}),
	})
	for n := range crashUpstreams {
		f.start(n)
	}
	var requests sync.WaitGroup
	sound, answered := 0, 0
	var mu sync.Mutex
	for n := range 240 {
		if n%3 == 0 {
			requests.Go(func() { _ = f.send(t, n, true) }) // fails, or is refused
		}
		sound++
		requests.Go(func() {
			if f.send(t, n, false) == nil {
				mu.Lock()
				defer mu.Unlock()
				answered++
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	requests.Wait()
	f.restarts.Wait()
	late := 0
	for _, at := range f.arrivals {
		if len(f.ends) >= maxFreeCrashes && at.After(f.ends[maxFreeCrashes-1].Add(crashBound)) {
			late++
		}
	}
	t.Logf("%d upstreams ended, %d of %d such requests late, %d of %d sound ones answered", len(f.ends), late, len(f.arrivals), answered, sound)
	if late > maxLateArrivals {
		t.Errorf("got %d requests that crash upstreams %v after the fifth crash, want at most %d", late, crashBound, maxLateArrivals)
	}
	if answered < sound/2 {
		t.Errorf("%d of %d sound requests were answered", answered, sound)
	}
}

// start starts an upstream.
func (f *crashFixture) start(n int) {
	end := func() { f.end(n) }
	var handler http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, crashText) {
			f.recordArrival()
			end()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(encoder.HeaderRequestID, r.Header.Get(encoder.HeaderRequestID))
		_, _ = fmt.Fprint(w, "done")
	})
	if f.row.Service == "" {
		handler = generator.Handler(generator.New(generator.Config{
			Name:            fmt.Sprintf("up-%d", n),
			Models:          []observer.LoadedModel{{Name: modelName, WeightsVersion: weights}},
			Slots:           8,
			CacheBlocks:     64,
			PrefillPerBlock: time.Millisecond,
			TokenInterval:   10 * time.Millisecond,
			Incarnation:     uint64(time.Now().UnixNano()),
			CrashText:       crashText,
			OnCrash: func() {
				f.recordArrival()
				end()
			},
		}))
	}
	f.net.Serve(addressOf(n).String(), handler)
}

func (f *crashFixture) recordArrival() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, time.Now())
}

// end ends an upstream, which starts again after crashDownTime.
func (f *crashFixture) end(n int) {
	f.net.Stop(addressOf(n).String())
	f.mu.Lock()
	f.ends = append(f.ends, time.Now())
	f.mu.Unlock()
	f.restarts.Go(func() {
		time.Sleep(crashDownTime)
		f.start(n)
	})
}

// send sends a request and returns its error.
func (f *crashFixture) send(t *testing.T, n int, crashing bool) error {
	id := fmt.Sprintf("%d %v", n, crashing)
	own, text := fmt.Sprint("own ", n), "sound"
	if crashing {
		text = crashText
		if f.row.Same {
			own = "the same"
		}
	}
	if f.row.Service != "" {
		path := "/stock/"
		if f.row.Service == http.MethodPost {
			path = "/orders/"
		}
		job := newServiceJob(f.row.Service, path+text, "", "")
		job.ID = id
		_, err := f.dispatcher.Call(t.Context(), job)
		return err
	}
	job := newJob(id, text+" "+own, 3)
	switch {
	case f.row.Chat:
		job.Path, job.Request.Prompt = "/v1/chat/completions", ""
		job.Request.Messages = []encoder.Message{{Role: "system", Content: "shared"}, {Role: "user", Content: text}, {Role: "user", Content: own}}
	case f.row.Shared:
		job.Request.Prompt = strings.Repeat(text+" ", 400) + own
	}
	return f.dispatcher.Complete(t.Context(), job, discardingSink{})
}

// discardingSink is a Sink that drops all chunks.
type discardingSink struct{}

// WriteChunk implements dispatcher.Sink.
func (discardingSink) WriteChunk(uint64, encoder.Chunk) error { return nil }
