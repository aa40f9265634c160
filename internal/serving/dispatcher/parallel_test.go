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

// loopback maps the addresses of a bench to real ones on loopback.
type loopback map[string]string

// TestEachCallerGetsItsOwnAnswer runs many callers over shared connections
// whose answers come late, crossed, doubled, out of order and cut short.
func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	t.Parallel()
	is := is.NewRelaxed(t)
	random := rand.New(rand.NewPCG(parallelSeed, 1))
	addresses := make(loopback)
	const engines = 3
	for i := range engines {
		handler := disrupter.New(generator.Handler(newEngine(fmt.Sprintf("up-%d", i), 1)))
		is.NoErr(handler.Inject(streamFaults(random, 150)...))
		addresses[addressOf(i).String()] = listen(t, handler).String()
	}
	calls := caller.New(caller.Config{Dial: addresses.dial})
	t.Cleanup(calls.Close)
	counters := newTally()
	routers := make([]*dispatcher.Dispatcher, engines)
	for i := range routers {
		choose := newInOrder(engines)
		choose.start = i
		routers[i] = dispatcher.New(dispatcher.Config{Caller: calls, Chooser: choose, Log: quiet(), Count: counters.add})
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	whole := 0
	for n := range parallelCallers {
		group.Go(func() {
			for k := range requestsPerCaller {
				prompt := fmt.Sprintf("prompt of caller %d, request %d", n, k)
				job := newJob(fmt.Sprintf("request-%d-%d", n, k), prompt, parallelTokens)
				sink := &taker{is: is, id: job.ID}
				err := routers[(n+k)%engines].Complete(t.Context(), job, sink)
				checkOwn(t, prompt, sink, err)
				mu.Lock()
				if err == nil {
					whole++
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	t.Logf("%d of %d answers whole, %d crossed ones dropped", whole, parallelCallers*requestsPerCaller,
		counters.of(dispatcher.Crossed))
	is.True(whole*10 >= parallelCallers*requestsPerCaller*9) // nearly all in spite of the faults
	is.True(counters.of(dispatcher.Crossed) > 0)
}

// checkOwn checks that an answer is the caller's own, whole or honestly broken.
func checkOwn(t *testing.T, prompt string, sink *taker, err error) {
	t.Helper()
	if err == nil && (!sink.ended || sink.text != answerOf(prompt, parallelTokens)) {
		t.Errorf("%s: answer %q is not whole", prompt, sink.text)
	}
	if err != nil && (sink.ended || sink.text != answerOf(prompt, int(sink.got))) {
		t.Errorf("%s: broken answer %q is not its own", prompt, sink.text)
	}
}

func (d loopback) dial(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, network, d[address])
}

// listen serves handler on loopback until the test ends.
func listen(t *testing.T, handler http.Handler) netip.AddrPort {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: pause}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return netip.MustParseAddrPort(listener.Addr().String())
}

// streamFaults returns n faults of single requests and of single resumes.
func streamFaults(random *rand.Rand, n int) []disrupter.Fault {
	kinds := []disrupter.Kind{
		disrupter.Duplicate, disrupter.Drop, disrupter.Reorder, disrupter.Crossed,
		disrupter.Close, disrupter.Reset, disrupter.Malformed, disrupter.Double,
	}
	heads := []disrupter.Kind{disrupter.Crossed, disrupter.Late, disrupter.Reset, disrupter.Close}
	faults := make([]disrupter.Fault, 0, n)
	for i := range n {
		f := disrupter.Fault{
			Method: http.MethodPost,
			Place:  disrupter.AtEvent,
			Kind:   kinds[random.IntN(len(kinds))],
			Event:  1 + random.IntN(parallelTokens),
			Times:  1,
		}
		if i%4 == 0 {
			f.Place, f.Kind = disrupter.BeforeHead, heads[random.IntN(len(heads))]
		}
		if i%5 == 0 {
			f.Method = http.MethodGet
		}
		faults = append(faults, f)
	}
	return faults
}
