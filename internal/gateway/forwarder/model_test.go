package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/platform/platformtest"
)

const (
	scenarioWorkers = 3
	// unlimitedBytes is more than any connection of a scenario carries.
	unlimitedBytes = 1 << 30
	// scenarioMillis is the time over which requests and faults are spread.
	scenarioMillis = 3000
	// settleTime is how long a scenario waits for delayed requests to run.
	settleTime = 5 * time.Second
)

// faultEvent is one fault or change of a worker, its connections or its entry.
type faultEvent struct {
	// at is the time since the start in ms.
	at     int
	worker int
	kind   string
	// bytes is the number of bytes after which new connections break.
	bytes int
	fault platformtest.WorkerFault
}

// sentRequest is a request of a client.
type sentRequest struct {
	// at is the time since the start in ms.
	at    int
	route string
	body  string
	// leavesAfter is the time after which the client disconnects, in ms; 0 for
	// never.
	leavesAfter int
}

// scenario holds the requests of clients and the faults of workers of one run.
type scenario struct {
	requests []sentRequest
	faults   []faultEvent
	// work is the time that a worker takes for a request in ms.
	work int
}

// drawScenario draws a random scenario.
func drawScenario(t *rapid.T) scenario {
	at := rapid.IntRange(0, scenarioMillis)
	request := rapid.Custom(func(t *rapid.T) sentRequest {
		return sentRequest{
			at:          at.Draw(t, "at"),
			route:       rapid.SampledFrom([]string{"non_idempotent", "non_idempotent", "non_idempotent", "idempotent"}).Draw(t, "route"),
			body:        strings.Repeat("b", rapid.IntRange(0, 300).Draw(t, "body")),
			leavesAfter: rapid.SampledFrom([]int{0, 0, 0, 5, 60, 400}).Draw(t, "leavesAfter"),
		}
	})
	change := rapid.Custom(func(t *rapid.T) faultEvent {
		return faultEvent{
			at:     at.Draw(t, "at"),
			worker: rapid.IntRange(0, scenarioWorkers-1).Draw(t, "worker"),
			kind: rapid.SampledFrom([]string{
				"fault", "fault", "fault", "crash", "restart", "other_instance", "freeze", "cut", "uncut", "deregister", "register",
			}).Draw(t, "kind"),
			bytes: rapid.IntRange(0, 500).Draw(t, "bytes"),
			fault: rapid.SampledFrom([]platformtest.WorkerFault{
				platformtest.Shed, platformtest.Misdirected, platformtest.InternalError, platformtest.ResponseLost, platformtest.WrongRequestID,
				platformtest.Unsigned, platformtest.Truncated, platformtest.NoResponse, platformtest.RunDelayed,
			}).Draw(t, "fault"),
		}
	})
	h := scenario{
		requests: rapid.SliceOfN(request, 1, 30).Draw(t, "requests"),
		faults:   rapid.SliceOfN(change, 0, 15).Draw(t, "faults"),
		work:     rapid.SampledFrom([]int{0, 20, 200}).Draw(t, "work"),
	}
	slices.SortStableFunc(h.requests, func(a, b sentRequest) int { return a.at - b.at })
	slices.SortStableFunc(h.faults, func(a, b faultEvent) int { return a.at - b.at })
	return h
}

// TestRunCountsUnderRandomFaults runs random scenarios: workers crash, freeze,
// restart as the same or another instance, lose and delay requests, connections
// break after any byte, registrations come and go, clients disconnect. No
// non-idempotent request may run twice, and each response must match the runs.
func TestRunCountsUnderRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		h := drawScenario(r)
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			m := &scenarioRunner{fixture: newFixture(t, scenarioWorkers), answers: make(map[string]answer)}
			violations = m.runScenario(t, h)
		})
		if len(violations) > 0 {
			r.Fatalf("%s", strings.Join(violations, "\n"))
		}
	})
}

// scenarioRunner runs a scenario and records the responses.
type scenarioRunner struct {
	*fixture
	// replaced holds the workers that another instance has replaced.
	replaced []*platformtest.Worker

	mu      sync.Mutex
	answers map[string]answer
}

// runScenario sends the requests, applies the faults and returns the
// violations.
func (m *scenarioRunner) runScenario(t *testing.T, h scenario) []string {
	for _, w := range m.workers {
		w.Faults = &platformtest.Faults{}
		w.SetResponseDelay(time.Duration(h.work) * time.Millisecond)
	}
	var clients sync.WaitGroup
	for n, s := range h.requests {
		clients.Go(func() {
			time.Sleep(time.Duration(s.at) * time.Millisecond)
			m.send(t, fmt.Sprint("id-", n), s)
		})
	}
	began := time.Now()
	for _, change := range h.faults {
		time.Sleep(time.Until(began.Add(time.Duration(change.at) * time.Millisecond)))
		m.applyFault(change)
	}
	clients.Wait()
	time.Sleep(settleTime)
	return m.violations(h)
}

// send sends one request and records its response.
func (m *scenarioRunner) send(t *testing.T, id string, s sentRequest) {
	ctx := t.Context()
	if s.leavesAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(s.leavesAfter)*time.Millisecond)
		defer cancel()
	}
	r := m.request(t, s.route, id).WithContext(ctx)
	if s.route != "idempotent" {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(s.body)), int64(len(s.body))
	}
	a := m.do(r)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answers[id] = a
}

// applyFault changes a worker, its connections or its entry.
func (m *scenarioRunner) applyFault(change faultEvent) {
	upstream := m.directory.Usable("s")
	worker := m.workers[change.worker]
	address := workerAddress(change.worker).String()
	up := m.network.Host(address) != nil
	switch change.kind {
	case "fault":
		worker.Faults.Add(change.fault)
	case "crash":
		m.network.Stop(address)
	case "restart":
		m.network.Stop(address)
		m.network.Serve(address, worker)
	case "other_instance":
		m.network.Stop(address)
		m.replaced = append(m.replaced, worker)
		m.workers[change.worker] = platformtest.NewWorker(worker.ID + "x")
		m.network.Serve(address, m.workers[change.worker])
	case "freeze":
		if up {
			m.network.Lose(address, true)
		}
	case "cut", "uncut":
		if up && change.kind == "cut" {
			m.network.Cut(address, change.bytes)
		} else if up {
			m.network.Cut(address, unlimitedBytes)
		}
	case "deregister":
		rest := slices.DeleteFunc(slices.Clone(upstream), func(u *registrar.Upstream) bool { return u.Address.String() == address })
		m.directory.setUpstreams(rest)
	case "register":
		if !slices.ContainsFunc(upstream, func(u *registrar.Upstream) bool { return u.Address.String() == address }) {
			m.directory.setUpstreams(append(slices.Clone(upstream), m.entry(change.worker)))
		}
	}
}

// violations returns the contradictions between the requests, the runs that the
// workers recorded and the responses.
func (m *scenarioRunner) violations(h scenario) []string {
	var list []string
	runs := make(map[string][]string)
	for _, w := range append(slices.Clone(m.workers), m.replaced...) {
		for _, run := range w.Runs() {
			runs[run.ID] = append(runs[run.ID], w.ID)
			var n int
			if _, err := fmt.Sscanf(run.ID, "id-%d", &n); err != nil || n >= len(h.requests) {
				list = append(list, fmt.Sprintf("worker ran request %s, which no client sent", run.ID))
				continue
			}
			s := h.requests[n]
			if run.Target != "/"+s.route+"/x" || s.route != "idempotent" && run.Body != s.body {
				list = append(list, fmt.Sprintf("worker ran request %s with altered target or body: %s %q", run.ID, run.Target, run.Body))
			}
		}
	}
	for n, s := range h.requests {
		id := fmt.Sprint("id-", n)
		list = append(list, checkAnswer(id, s, m.answers[id], runs[id])...)
	}
	return list
}

// checkAnswer compares a response with the workers that ran its request. A
// request runs at most once, an idempotent one at most twice; a response that
// states that the request was not run, or that it succeeded, must be true.
func checkAnswer(id string, s sentRequest, a answer, ran []string) []string {
	var list []string
	fail := func(format string, args ...any) {
		list = append(list, fmt.Sprintf("%s (%s): ", id, s.route)+fmt.Sprintf(format, args...))
	}
	allowed := 2
	if s.route == "non_idempotent" {
		allowed = 1
	}
	if len(ran) > allowed {
		fail("ran too often: at %v", ran)
	}
	if a.err != nil {
		return list
	}
	signature := a.header.Get("Server-Signature")
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if len(ran) > 0 {
			fail("status %d states that the request was not run, but it ran at %v", a.status, ran)
		}
	case http.StatusOK:
		by, ok := strings.CutPrefix(signature, "sig."+id+".")
		if !ok || !slices.Contains(ran, by) || a.body != "answer to "+id {
			fail("status 200 with signature %q and body %q does not match the runs at %v", signature, a.body, ran)
		}
	}
	return list
}
