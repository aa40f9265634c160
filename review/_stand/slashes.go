package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playSlashes adds a route for all paths of a host by a change of the configuration, and
// sends requests whose path begins with two slashes, as callers do whose base address
// ends with one.
func playSlashes(ctx context.Context, s *site) (string, error) {
	var mu sync.Mutex
	ran := make(map[string]string)
	err := s.addWorkers(ctx, plainService, 2, 6, func(k *worker) answerFunc {
		return func(w http.ResponseWriter, r *http.Request, _ []byte) {
			id := r.Header.Get("Request-Id")
			s.Record.printf("worker %s runs %s: %s %s, host %s", k.currentID(), id, r.Method, r.RequestURI, r.Host)
			mu.Lock()
			ran[id] = r.RequestURI
			mu.Unlock()
			k.sign(w, r)
			fmt.Fprintf(w, "answer to %s", id)
		}
	})
	if err != nil {
		return "", err
	}
	routes := []map[string]any{route("stock", "idempotent", plainService, nil), route("order", "non_idempotent", plainService, nil)}
	s.configure(routes)
	if err := s.startGateways(ctx, 2); err != nil {
		return "", err
	}
	s.settle(ctx)
	if s.Trouble {
		s.configure(append(routes, route("all", "idempotent", plainService, map[string]any{"prefix": "/"})))
		pause(ctx, 4*time.Second) // longer than config_apply_ms
	}
	broken := 0
	for i := range 20 {
		q := &requester{gateway: s.gateways[i%2]}
		for _, path := range []string{"/stock/a?x=1", "//stock/a?x=1", "//order/b"} {
			c := &call{ID: newID(), Method: http.MethodGet, Path: path, Key: tenantKey}
			q.do(c)
			s.Record.printf("requester sent %s to %s: GET %s: status %d, error %v", c.ID, q.gateway.name, path, c.Status, c.Err)
			mu.Lock()
			target, hasRun := ran[c.ID]
			mu.Unlock()
			if hasRun && target != path {
				s.Record.printf("UNASKED: %s was sent for %s and ran as %s", c.ID, path, target)
				broken++
			}
		}
		q.close()
	}
	if broken == 0 {
		return "", nil
	}
	return fmt.Sprintf("UNASKED: %d requests ran with another path than their requesters sent", broken), nil
}
