package chooser_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// noticeGrace is the time after a response with a notice in which requests may
	// still arrive, maxHeldArrivals the number that may arrive in a hold-off after it.
	noticeGrace     = 500 * time.Millisecond
	maxHeldArrivals = 2
)

// processLog holds what one process of an engine received and stated.
type processLog struct {
	name     string
	arrivals []arrival
	notices  []statedNotice
}

type arrival struct {
	at time.Time
	// newWork is true unless the request is a poll, a resume or a cancellation.
	newWork bool
}

type statedNotice struct {
	at         time.Time
	leaving    bool
	retryAfter string
}

// logWriter logs the notices in the head of a response.
type logWriter struct {
	http.ResponseWriter
	fixture *noticeFixture
	log     *processLog
	done    bool
}

// Unwrap is used by http.ResponseController.
func (w *logWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *logWriter) WriteHeader(status int) {
	w.record(status)
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *logWriter) Write(data []byte) (int, error) {
	w.record(http.StatusOK)
	return w.ResponseWriter.Write(data)
}

func (w *logWriter) record(status int) {
	n := statedNotice{at: time.Now(), leaving: w.Header().Get("X-Leaving") == "true"}
	if status == http.StatusServiceUnavailable {
		n.retryAfter = w.Header().Get("Retry-After")
	}
	if w.done || !n.leaving && n.retryAfter == "" {
		return
	}
	w.done = true
	w.fixture.mu.Lock()
	defer w.fixture.mu.Unlock()
	w.log.notices = append(w.log.notices, n)
}

// logged adds a log of what a process receives and states.
func (f *noticeFixture) logged(name string, next http.Handler) http.Handler {
	log := &processLog{name: name}
	f.logs = append(f.logs, log)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		running := r.URL.Path == "/v1/control/status" || strings.HasPrefix(r.URL.Path, "/v1/streams/")
		f.mu.Lock()
		log.arrivals = append(log.arrivals, arrival{time.Now(), !running})
		f.mu.Unlock()
		next.ServeHTTP(&logWriter{ResponseWriter: w, fixture: f, log: log}, r)
	})
}

// violations returns the requests that a process received in spite of its notices.
func (l *processLog) violations() []string {
	var list []string
	for _, n := range l.notices {
		seconds, _ := strconv.ParseFloat(n.retryAfter, 64) // other values ask for no hold-off
		until := n.at.Add(time.Duration(seconds * float64(time.Second)))
		held, work := 0, 0
		for _, a := range l.arrivals {
			late := a.at.After(n.at.Add(noticeGrace))
			if late && a.at.Before(until) {
				held++
			}
			if late && a.newWork && n.leaving {
				work++
			}
		}
		if held > maxHeldArrivals || work > 0 {
			list = append(list, fmt.Sprintf("%s: %d requests in a hold-off of %q s, %d after it said that it leaves", l.name, held, n.retryAfter, work))
		}
	}
	return list
}

// violations returns the requests that any process received in spite of its notices.
func (f *noticeFixture) violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for _, l := range f.logs {
		list = append(list, l.violations()...)
	}
	return list
}
