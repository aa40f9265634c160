//go:build !race

// The race detector of Go 1.26 itself fails at times after so many goroutines
// ("ThreadSanitizer: CHECK failed: tsan_rtl.cpp:346"), so that scripts/unit.sh runs this
// file without it.

package forwarder_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/platform"
	"gentianstep.example/gentianstep/platform/platformtest"
)

const (
	noticeWorkers = 3
	// noticeMillis is the time over which requests and notices are spread.
	noticeMillis = 8000
	// noticeTimeout is the timeout of requests.
	noticeTimeout = time.Minute
	// holdOffGrace is the time after a refusal with a hold-off in which requests
	// may still arrive, maxHeldArrivals the number that may arrive after it.
	holdOffGrace    = 500 * time.Millisecond
	maxHeldArrivals = 2
)

// noticeEvent is a change of a worker, or requests to send.
type noticeEvent struct {
	// at is the time since the start in ms.
	at     int
	worker int
	kind   string
	// retryAfter lists the values of a refusal.
	retryAfter []string
	route      string
	requests   int
	// clock is how far the clock of a process that is started is ahead, in ms.
	clock int
}

// drawNoticeEvents draws random events. Most of them send requests.
func drawNoticeEvents(r *rapid.T) []noticeEvent {
	event := rapid.Custom(func(r *rapid.T) noticeEvent {
		return noticeEvent{
			at:     rapid.IntRange(0, noticeMillis).Draw(r, "at"),
			worker: rapid.IntRange(0, noticeWorkers-1).Draw(r, "worker"),
			kind: rapid.SampledFrom([]string{
				"requests", "requests", "requests", "requests", "report", "events", "leave", "refuse", "refuse",
				"restart", "restart_unseen", "replace", "deregister", "register",
			}).Draw(r, "kind"),
			retryAfter: rapid.SliceOfN(rapid.SampledFrom([]string{"0.3", "0.8", "1.5", "3", "-1", "x", "60"}), 1, 4).Draw(r, "retryAfter"),
			route:      rapid.SampledFrom([]string{"idempotent", "non_idempotent", "stream", "resumable"}).Draw(r, "route"),
			requests:   rapid.IntRange(1, 8).Draw(r, "requests"),
			clock:      rapid.SampledFrom([]int{0, 0, 3000, -3000, 12000, -60000}).Draw(r, "clock"),
		}
	})
	events := rapid.SliceOfN(event, 1, 20).Draw(r, "events")
	slices.SortStableFunc(events, func(a, b noticeEvent) int { return a.at - b.at })
	return events
}

// TestNoRequestsAfterNotices runs random schedules of notices, incarnations and
// entries over connections that open slowly. Whatever the path of a request, an
// upstream gets none after the drain bound, and at most two in a hold-off.
func TestNoRequestsAfterNotices(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		events := drawNoticeEvents(r)
		work := rapid.SampledFrom([]int{0, 20, 300}).Draw(r, "work")
		dialDelay := rapid.SampledFrom([]int{0, 30, 700}).Draw(r, "dialDelay")
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			m := &noticeRunner{fixture: newFixture(t, noticeWorkers), work: time.Duration(work) * time.Millisecond}
			m.dialDelay.Store(int64(time.Duration(dialDelay) * time.Millisecond))
			violations = m.run(t, events)
		})
		if len(violations) > 0 {
			r.Fatalf("%s", strings.Join(violations, "\n"))
		}
	})
}

// noticeRunner runs a schedule. Each incarnation of a worker is a Worker of its
// own.
type noticeRunner struct {
	*fixture
	work     time.Duration
	ended    []*platformtest.Worker
	requests sync.WaitGroup
}

func (m *noticeRunner) run(t *testing.T, events []noticeEvent) []string {
	transport := &http.Transport{DialContext: m.dial}
	defer transport.CloseIdleConnections()
	engines := platform.EngineClient{HTTPClient: &http.Client{Transport: transport}, OrderClient: &http.Client{Transport: transport}, Noticer: m.noticer}
	c := testConfiguration()
	for i := range c.Routes {
		c.Routes[i].Timeout = noticeTimeout // a worker's response must not come too late to be read
	}
	m.directory.configure(c)
	for n, w := range m.workers {
		w.SetResponseDelay(m.work)
		w.StartedAtMS = time.Now().UnixMilli()
		m.register(n)
	}
	began := time.Now()
	for n, e := range events {
		time.Sleep(time.Until(began.Add(time.Duration(e.at) * time.Millisecond)))
		m.apply(t, engines, n, e)
	}
	m.requests.Wait()
	time.Sleep(m.work) // workers end requests that their callers have given up
	violations := make([]string, 0, noticeWorkers)
	for _, w := range append(m.ended, m.workers...) {
		violations = append(violations, noticeViolations(w)...)
	}
	return violations
}

func (m *noticeRunner) apply(t *testing.T, engines platform.EngineClient, n int, e noticeEvent) {
	worker := m.workers[e.worker]
	switch e.kind {
	case "requests":
		for i := range e.requests {
			request := m.request(t, e.route, fmt.Sprint("id-", n, "-", i))
			request.Header.Set("Deadline-Ms", strconv.FormatInt(noticeTimeout.Milliseconds(), 10))
			m.requests.Go(func() { m.do(request) })
		}
	case "report", "events":
		u := m.entry(e.worker)
		u.StartedAt = worker.StartedAt()
		for range e.requests {
			m.requests.Go(func() {
				if e.kind == "report" {
					_, _ = engines.Report(t.Context(), u) // the worker may refuse it
					return
				}
				_, _ = engines.Events(t.Context(), u, 0, 0)
			})
		}
	case "leave":
		worker.SetLeaving("1")
	case "refuse":
		worker.RefuseNext(e.retryAfter...)
	case "restart": // the same ID with a later start
		m.replace(e, worker.ID)
		m.register(e.worker)
	case "restart_unseen": // the same ID, whose entry is not there yet
		m.replace(e, worker.ID)
	case "replace": // another ID at the address, whose entry is not there yet
		m.replace(e, worker.ID+"x")
	case "deregister":
		m.deregister(e.worker)
	case "register":
		m.register(e.worker)
	}
}

// replace starts another incarnation at the address of a worker.
func (m *noticeRunner) replace(e noticeEvent, id string) {
	m.ended = append(m.ended, m.restart(e.worker, id))
	m.workers[e.worker].SetResponseDelay(m.work)
	m.workers[e.worker].StartedAtMS += int64(e.clock)
}

func (m *noticeRunner) deregister(n int) []*registrar.Upstream {
	rest := slices.DeleteFunc(slices.Clone(m.directory.Usable("s")), func(u *registrar.Upstream) bool { return u.Address == workerAddress(n) })
	m.setEntries(rest)
	return rest
}

// register adds the entry of a worker.
func (m *noticeRunner) register(n int) {
	u := m.entry(n)
	u.StartedAt = m.workers[n].StartedAt()
	m.setEntries(append(m.deregister(n), u))
}

// noticeViolations returns the requests that a worker received in spite of its
// notices.
func noticeViolations(w *platformtest.Worker) []string {
	var list []string
	for _, n := range w.SentNotices() {
		if n.Leaving {
			if late := arrivalsWithin(w.ArrivalTimes(), n.At.Add(drainBound), time.Time{}); late > 0 {
				list = append(list, fmt.Sprintf("%s: %d requests after the drain bound", w.ID, late))
			}
		}
		seconds, err := strconv.ParseFloat(n.RetryAfter, 64)
		if err != nil || seconds <= 0 {
			continue
		}
		until := n.At.Add(time.Duration(seconds * float64(time.Second)))
		held := arrivalsWithin(w.ArrivalTimes(), n.At.Add(holdOffGrace), until) + arrivalsWithin(w.HealthChecks(), n.At.Add(holdOffGrace), until)
		if held > maxHeldArrivals {
			list = append(list, fmt.Sprintf("%s: %d requests in a hold-off of %s s", w.ID, held, n.RetryAfter))
		}
	}
	return list
}

// arrivalsWithin counts the arrivals between two times; a zero until is no bound.
func arrivalsWithin(arrivals []time.Time, after, until time.Time) int {
	count := 0
	for _, at := range arrivals {
		if at.After(after) && (until.IsZero() || at.Before(until)) {
			count++
		}
	}
	return count
}
