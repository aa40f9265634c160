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
	modelWorkers = 3
	// uncut is as many bytes as no connection of a case carries.
	uncut = 1 << 30
	// modelSpan is the time over which requests and troubles of a case come.
	modelSpan = 3000
	// modelEnd is how long a case waits for late effects.
	modelEnd = 5 * time.Second
)

// trouble is one change of a case's surroundings.
type trouble struct {
	at     int
	worker int
	kind   string
	// bytes are those after which new connections break.
	bytes int
	fault platformtest.WorkerFault
}

// sentRequest is a request of a client.
type sentRequest struct {
	at    int
	route string
	body  string
	// leavesAfter is when the client gives up, in ms; 0 for never.
	leavesAfter int
}

// history is a case: what clients send and what befalls the workers.
type history struct {
	requests []sentRequest
	troubles []trouble
	work     int
}

func drawHistory(t *rapid.T) history {
	at := rapid.IntRange(0, modelSpan)
	request := rapid.Custom(func(t *rapid.T) sentRequest {
		return sentRequest{
			at:          at.Draw(t, "at"),
			route:       rapid.SampledFrom([]string{"non_idempotent", "non_idempotent", "non_idempotent", "idempotent"}).Draw(t, "route"),
			body:        strings.Repeat("b", rapid.IntRange(0, 300).Draw(t, "body")),
			leavesAfter: rapid.SampledFrom([]int{0, 0, 0, 5, 60, 400}).Draw(t, "leaves"),
		}
	})
	change := rapid.Custom(func(t *rapid.T) trouble {
		return trouble{
			at:     at.Draw(t, "at"),
			worker: rapid.IntRange(0, modelWorkers-1).Draw(t, "worker"),
			kind: rapid.SampledFrom([]string{
				"fault", "fault", "fault", "crash", "restart", "other_run", "freeze", "cut", "uncut", "leave", "return",
			}).Draw(t, "kind"),
			bytes: rapid.IntRange(0, 500).Draw(t, "bytes"),
			fault: rapid.SampledFrom([]platformtest.WorkerFault{
				platformtest.Shed, platformtest.Misdirected, platformtest.Fails, platformtest.AnswerLost, platformtest.Crossed,
				platformtest.Unsigned, platformtest.Truncated, platformtest.Hangs, platformtest.RunsLate,
			}).Draw(t, "fault"),
		}
	})
	h := history{
		requests: rapid.SliceOfN(request, 1, 30).Draw(t, "requests"),
		troubles: rapid.SliceOfN(change, 0, 15).Draw(t, "troubles"),
		work:     rapid.SampledFrom([]int{0, 20, 200}).Draw(t, "work"),
	}
	slices.SortStableFunc(h.requests, func(a, b sentRequest) int { return a.at - b.at })
	slices.SortStableFunc(h.troubles, func(a, b trouble) int { return a.at - b.at })
	return h
}

// TestRequestsRunOnceWhateverHappens plays drawn histories: workers crash,
// freeze, restart as themselves or as another run, lose and delay what they were
// sent, connections break after any byte, entries come and go, clients leave.
func TestRequestsRunOnceWhateverHappens(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		h := drawHistory(r)
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			m := &model{fixture: newFixture(t, modelWorkers), answers: make(map[string]answer)}
			violations = m.play(t, h)
		})
		if len(violations) > 0 {
			r.Fatalf("%s", strings.Join(violations, "\n"))
		}
	})
}

// model plays a history and keeps what came of it.
type model struct {
	*fixture
	// gone are the workers that other runs have replaced.
	gone []*platformtest.Worker

	mu      sync.Mutex
	answers map[string]answer
}

func (m *model) play(t *testing.T, h history) []string {
	for _, w := range m.workers {
		w.Faults = &platformtest.Faults{}
		w.SetWork(time.Duration(h.work) * time.Millisecond)
	}
	var clients sync.WaitGroup
	for n, s := range h.requests {
		clients.Go(func() {
			time.Sleep(time.Duration(s.at) * time.Millisecond)
			m.send(t, fmt.Sprint("id-", n), s)
		})
	}
	began := time.Now()
	for _, change := range h.troubles {
		time.Sleep(time.Until(began.Add(time.Duration(change.at) * time.Millisecond)))
		m.befall(change)
	}
	clients.Wait()
	time.Sleep(modelEnd)
	return m.violations(h)
}

func (m *model) send(t *testing.T, id string, s sentRequest) {
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

// befall changes a worker, its connections or its entry.
func (m *model) befall(change trouble) {
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
	case "other_run":
		m.network.Stop(address)
		m.gone = append(m.gone, worker)
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
			m.network.Cut(address, uncut)
		}
	case "leave":
		rest := slices.DeleteFunc(slices.Clone(upstream), func(u *registrar.Upstream) bool { return u.Address.String() == address })
		m.directory.setUpstreams("s", rest)
	case "return":
		if !slices.ContainsFunc(upstream, func(u *registrar.Upstream) bool { return u.Address.String() == address }) {
			m.directory.setUpstreams("s", append(slices.Clone(upstream), m.entry(change.worker)))
		}
	}
}

// violations lists what the ledgers of the workers and the answers show.
func (m *model) violations(h history) []string {
	var list []string
	runs := make(map[string][]string)
	for _, w := range append(slices.Clone(m.workers), m.gone...) {
		for _, run := range w.Runs() {
			runs[run.ID] = append(runs[run.ID], w.ID)
			var n int
			if _, err := fmt.Sscanf(run.ID, "id-%d", &n); err != nil || n >= len(h.requests) {
				list = append(list, fmt.Sprintf("%s was never sent", run.ID))
				continue
			}
			s := h.requests[n]
			if run.Target != "/"+s.route+"/x" || s.route != "idempotent" && run.Body != s.body {
				list = append(list, fmt.Sprintf("%s ran changed: %s %q", run.ID, run.Target, run.Body))
			}
		}
	}
	for n, s := range h.requests {
		id := fmt.Sprint("id-", n)
		list = append(list, checkAnswer(id, s, m.answers[id], runs[id])...)
	}
	return list
}

// checkAnswer holds an answer against the workers that ran its request.
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
		fail("ran at %v", ran)
	}
	if a.err != nil {
		return list
	}
	signature := a.header.Get("Server-Signature")
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if len(ran) > 0 {
			fail("status %d, and ran at %v", a.status, ran)
		}
	case http.StatusOK:
		by, ok := strings.CutPrefix(signature, "sig."+id+".")
		if !ok || !slices.Contains(ran, by) || a.body != "answer to "+id {
			fail("status 200 signed %q with %q, ran at %v", signature, a.body, ran)
		}
	}
	return list
}
