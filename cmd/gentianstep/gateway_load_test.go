package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"

	"gentianstep.example/gentianstep/platform/platformtest"
)

// requestLoad sends requests to a VM, one after the other on each route, and records
// those that fail.
type requestLoad struct {
	platform *platformFixture
	vm       *gatewayVM
	routes   []string
	key      string

	group    sync.WaitGroup
	mu       sync.Mutex
	sent     map[string]string
	failures []string
}

// start sends requests until ctx is done.
func (l *requestLoad) start(ctx context.Context) {
	l.sent = make(map[string]string)
	for _, route := range l.routes {
		l.group.Go(func() { l.run(ctx, route) })
	}
}

// wait returns when the last request has ended.
func (l *requestLoad) wait() { l.group.Wait() }

func (l *requestLoad) run(ctx context.Context, route string) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%s-%d", route, l.vm.client, n)
		status, body := l.platform.sendRequest(l.vm, route, id, l.key)
		l.record(route, id, status, body)
	}
}

func (l *requestLoad) record(route, id string, status int, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = route
	expected := "answer to " + id
	if isStreamed(route) {
		expected = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\nid: 4\ndata: token 4\n\n"
	}
	if status != http.StatusOK || body != expected {
		l.failures = append(l.failures, fmt.Sprintf(" request %s: got status %d and %q", id, status, body))
	}
}

func isStreamed(route string) bool { return route == "match" || route == "ask" }

// check returns the faults of the load after its end: requests that failed, and those that
// did not run exactly once.
func (l *requestLoad) check(workers []*platformtest.Worker) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := make(map[string]int)
	for _, w := range workers {
		for _, run := range w.Runs() {
			if !run.Cancelled || !strings.HasPrefix(run.ID, "match") {
				runs[run.ID]++
			}
		}
	}
	faults := slices.Clone(l.failures)
	for id := range l.sent {
		if runs[id] != 1 {
			faults = append(faults, fmt.Sprintf("request %s ran %d times", id, runs[id]))
		}
	}
	return faults
}
