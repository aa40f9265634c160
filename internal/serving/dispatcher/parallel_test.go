package dispatcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/serving/dispatcher"
	"gentianstep.example/gentianstep/internal/standin/disrupter"
	"gentianstep.example/gentianstep/internal/standin/generator"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

const (
	parallelCallers   = 64
	requestsPerCaller = 8
	parallelTokens    = 12
	parallelSeed      = 7
)

// loopbackDialer maps the simulated addresses of upstreams to listeners on the
// loopback interface.
type loopbackDialer map[string]string

// TestEachCallerGetsItsOwnAnswer runs many callers over shared connections on
// which answers are late, duplicated, reordered, truncated or sent to the wrong
// request. It guards against a caller receiving chunks of another request.
func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	t.Parallel()
	is := is.NewRelaxed(t)
	random := rand.New(rand.NewPCG(parallelSeed, 1))
	addresses := make(loopbackDialer)
	const engines = 3
	for i := range engines {
		handler := disrupter.New(generator.Handler(newEngine(fmt.Sprintf("up-%d", i), 1)))
		is.NoErr(handler.Inject(streamFaults(random, 150)...))
		addresses[addressOf(i).String()] = listen(t, handler).String()
	}
	calls := caller.New(caller.Config{Dial: addresses.dial})
	t.Cleanup(calls.Close)
	counters := newEventCounter()
	routers := make([]*dispatcher.Dispatcher, engines)
	for i := range routers {
		chooser := newOrderedChooser(engines)
		chooser.start = i
		routers[i] = dispatcher.New(dispatcher.Config{Caller: calls, Chooser: chooser, Log: discardLog(), Count: counters.add})
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	complete := 0
	for n := range parallelCallers {
		group.Go(func() {
			for k := range requestsPerCaller {
				prompt := fmt.Sprintf("prompt of caller %d, request %d", n, k)
				job := newJob(fmt.Sprintf("request-%d-%d", n, k), prompt, parallelTokens)
				sink := &recordingSink{is: is, id: job.ID}
				err := routers[(n+k)%engines].Complete(t.Context(), job, sink)
				checkOwnAnswer(t, prompt, sink, err)
				mu.Lock()
				if err == nil {
					complete++
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	t.Logf("%d of %d answers complete, %d exchanges with the answer to another request dropped", complete, parallelCallers*requestsPerCaller,
		counters.count(dispatcher.Crossed))
	is.True(complete*10 >= parallelCallers*requestsPerCaller*9) // at least 90% complete despite the faults
	is.True(counters.count(dispatcher.Crossed) > 0)             // the faults included answers to other requests
}

// checkOwnAnswer checks that an answer without an error is complete, and that an
// answer with an error is a prefix of the expected text without a finish reason.
func checkOwnAnswer(t *testing.T, prompt string, sink *recordingSink, err error) {
	t.Helper()
	if err == nil && (!sink.finished || sink.text != expectedText(prompt, parallelTokens)) {
		t.Errorf("%s: answer %q is incomplete or wrong", prompt, sink.text)
	}
	if err != nil && (sink.finished || sink.text != expectedText(prompt, int(sink.received))) {
		t.Errorf("%s: partial answer %q is not a prefix of the expected text", prompt, sink.text)
	}
}

func (d loopbackDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, network, d[address])
}

// listen serves handler on the loopback interface until the test ends.
func listen(t *testing.T, handler http.Handler) netip.AddrPort {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: longPause}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return netip.MustParseAddrPort(listener.Addr().String())
}

// streamFaults returns n random faults, each of which applies to one request or
// one resume.
func streamFaults(random *rand.Rand, n int) []disrupter.Fault {
	eventKinds := []disrupter.Kind{
		disrupter.Duplicate, disrupter.Drop, disrupter.Reorder, disrupter.Crossed,
		disrupter.Close, disrupter.Reset, disrupter.Malformed, disrupter.Double,
	}
	headKinds := []disrupter.Kind{disrupter.Crossed, disrupter.Late, disrupter.Reset, disrupter.Close}
	faults := make([]disrupter.Fault, 0, n)
	for i := range n {
		f := disrupter.Fault{
			Method: http.MethodPost,
			Place:  disrupter.AtEvent,
			Kind:   eventKinds[random.IntN(len(eventKinds))],
			Event:  1 + random.IntN(parallelTokens),
			Times:  1,
		}
		if i%4 == 0 {
			f.Place, f.Kind = disrupter.BeforeHead, headKinds[random.IntN(len(headKinds))]
		}
		if i%5 == 0 {
			f.Method = http.MethodGet
		}
		faults = append(faults, f)
	}
	return faults
}
