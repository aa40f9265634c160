package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/platform"
)

// noticeStep changes what a worker states about itself, or sends requests and
// checks their outcome.
type noticeStep struct {
	// WaitMS is the virtual time in ms before the step.
	WaitMS int `json:"wait_ms"`
	// Worker is the number of the worker that the step changes, from 1.
	Worker     int      `json:"worker"`
	Leaving    string   `json:"leaving"`
	RetryAfter []string `json:"retry_after"`
	// StartedMS changes the start time of the worker's entry, in ms after the start
	// of the test. Gone removes the entry.
	StartedMS *int64 `json:"started_ms"`
	Gone      bool   `json:"gone"`
	// Requests is the number of requests sent at once on Route.
	Requests int    `json:"requests"`
	Route    string `json:"route"`
	// Background sends the requests without waiting for their outcome.
	Background bool `json:"background"`
	// Report requests the worker's report over the client for engines.
	Report bool `json:"report"`
	// ResponseDelayMS changes the time before the worker's responses.
	ResponseDelayMS *int `json:"response_delay_ms"`
	// Statuses counts the expected responses by status.
	Statuses map[string]int `json:"statuses"`
	WithinMS int            `json:"within_ms"`
	// RetryAfterMS is the range of the expected Retry-After of refusals; empty
	// expects none.
	RetryAfterMS []int `json:"retry_after_ms"`
	// Arrivals holds the expected number of requests that each worker has
	// received so far, or a range of them.
	Arrivals [][]int `json:"arrivals"`
	// NewArrivals holds the expected number of requests that each worker receives
	// in the step.
	NewArrivals []int `json:"new_arrivals"`
	// Logged holds the expected number of log lines by event.
	Logged map[string]int `json:"logged"`
}

type noticeRow struct {
	Name    string       `json:"name"`
	Workers int          `json:"workers"`
	Steps   []noticeStep `json:"steps"`
}

func TestUpstreamNotices(t *testing.T) {
	t.Parallel()
	var rows []noticeRow
	scripter.Read(t, "testdata/notices.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runNoticeRow(t, row) })
		})
	}
}

func runNoticeRow(t *testing.T, row noticeRow) {
	f := newFixture(t, row.Workers)
	var background sync.WaitGroup
	defer background.Wait()
	for n, s := range row.Steps {
		time.Sleep(time.Duration(s.WaitMS) * time.Millisecond)
		applyNoticeStep(f, s)
		if s.Background {
			for m := range s.Requests {
				r := f.request(t, s.Route, fmt.Sprint("background ", n, " ", m))
				background.Go(func() {
					a := f.do(r)
					if s.WithinMS > 0 && a.took > time.Duration(s.WithinMS)*time.Millisecond {
						t.Errorf("step %d: response in the background took %s, want at most %d ms", n, a.took, s.WithinMS)
					}
				})
			}
			synctest.Wait()
			continue
		}
		before := arrivalsByWorker(f)
		sendNoticeRequests(t, f, n, s)
		checkNoticeStep(t, f, n, s)
		for w, want := range s.NewArrivals {
			if got := arrivalsByWorker(f)[w] - before[w]; got != want {
				t.Errorf("step %d: worker %d received %d more requests, want %d", n, w+1, got, want)
			}
		}
	}
}

func arrivalsByWorker(f *fixture) []int {
	counts := make([]int, len(f.workers))
	for n, w := range f.workers {
		counts[n] = len(w.ArrivalTimes())
	}
	return counts
}

// applyNoticeStep changes a worker and its entry.
func applyNoticeStep(f *fixture, s noticeStep) {
	if s.Worker == 0 {
		return
	}
	worker := f.workers[s.Worker-1]
	if s.Leaving != "" {
		worker.SetLeaving(strings.TrimPrefix(s.Leaving, "none"))
	}
	worker.RefuseNext(s.RetryAfter...)
	if s.ResponseDelayMS != nil {
		worker.SetResponseDelay(time.Duration(*s.ResponseDelayMS) * time.Millisecond)
	}
	if s.Report {
		c := platform.EngineClient{HTTPClient: &http.Client{Transport: f.client.Transport}, Noticer: f.noticer}
		_, _ = c.Report(context.Background(), f.entry(s.Worker-1)) // the worker may refuse it
	}
	if s.StartedMS == nil && !s.Gone {
		return
	}
	var entries []*registrar.Upstream
	for _, u := range f.directory.Usable("s") {
		if u.ID != worker.ID {
			entries = append(entries, u)
		}
	}
	if !s.Gone {
		entry := f.entry(s.Worker - 1)
		entry.StartedAt = f.startedAt.Add(time.Duration(*s.StartedMS) * time.Millisecond)
		entries = append(entries, entry)
	}
	f.setEntries(entries)
}

// setEntries replaces the entries of the workers.
func (f *fixture) setEntries(entries []*registrar.Upstream) {
	f.directory.setUpstreams(entries)
}

func sendNoticeRequests(t *testing.T, f *fixture, step int, s noticeStep) {
	is := is.New(t)
	answers := make([]answer, s.Requests)
	var group sync.WaitGroup
	for m := range s.Requests {
		r := f.request(t, s.Route, fmt.Sprint("request ", step, " ", m))
		group.Go(func() { answers[m] = f.do(r) })
	}
	group.Wait()
	statuses := make(map[string]int)
	for _, a := range answers {
		is.NoErr(a.err)
		statuses[fmt.Sprint(a.status)]++
		if s.WithinMS > 0 && a.took > time.Duration(s.WithinMS)*time.Millisecond {
			t.Errorf("step %d: response took %s, want at most %d ms", step, a.took, s.WithinMS)
		}
		if a.status == 503 {
			checkRetryAfter(t, step, s, a.header.Get("Retry-After"))
		}
	}
	if s.Statuses != nil && fmt.Sprint(statuses) != fmt.Sprint(s.Statuses) {
		t.Errorf("step %d: got statuses %v, want %v", step, statuses, s.Statuses)
	}
}

func checkRetryAfter(t *testing.T, step int, s noticeStep, text string) {
	if len(s.RetryAfterMS) == 0 {
		if text != "" {
			t.Errorf("step %d: got Retry-After %q, want none", step, text)
		}
		return
	}
	wait, err := time.ParseDuration(text + "s")
	if err != nil || wait < time.Duration(s.RetryAfterMS[0])*time.Millisecond || wait > time.Duration(s.RetryAfterMS[1])*time.Millisecond {
		t.Errorf("step %d: got Retry-After %q, want milliseconds within %v", step, text, s.RetryAfterMS)
	}
}

func checkNoticeStep(t *testing.T, f *fixture, step int, s noticeStep) {
	synctest.Wait()
	for n, want := range s.Arrivals {
		got := len(f.workers[n].ArrivalTimes())
		if got < want[0] || got > want[len(want)-1] {
			t.Errorf("step %d: worker %d received %d requests, want %v", step, n+1, got, want)
		}
	}
	for event, want := range s.Logged {
		if got := strings.Count(f.log.String(), `"event":"`+event+`"`); got != want {
			t.Errorf("step %d: %d lines with event %s, want %d", step, got, event, want)
		}
	}
}

// TestNoticeInReportOfReplacedProcess requests a report under an entry that that of
// a later process with the same ID replaces meanwhile. The later one has responded.
func TestNoticeInReportOfReplacedProcess(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 1)
		replaced, current := f.entry(0), f.entry(0)
		replaced.StartedAt, current.StartedAt = f.startedAt, f.startedAt.Add(time.Second)
		time.Sleep(2 * time.Second)
		f.setEntries([]*registrar.Upstream{current})
		f.workers[0].RefuseNext("5")
		c := platform.EngineClient{HTTPClient: &http.Client{Transport: f.client.Transport}, Noticer: f.noticer}
		_, err := c.Report(t.Context(), replaced)
		is.True(err != nil)
		is.Equal(f.do(f.request(t, "idempotent", "request")).status, http.StatusServiceUnavailable)
		is.Equal(len(f.workers[0].ArrivalTimes()), 1)
	})
}
