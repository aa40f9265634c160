package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// parallelTokens is the length of the own part of a prompt with the part that crashes
	// workers. It is below kv_capacity_tokens (129,306).
	parallelTokens = 110_000
	// prefillTokensPerMS is how fast a worker reads a prompt.
	prefillTokensPerMS = 61.8
	// parallelInterval is the time between two such prompts, at all gateways together.
	parallelInterval = 400 * time.Millisecond
	parallelDown     = 2 * time.Second
	parallelWorkers  = 12
	parallelTime     = 60 * time.Second
	// crashingBound is the number of requests that may reach workers after the fifth crash.
	crashingBound = 3
)

// playParallel sends long prompts of which some have a part that crashes each worker which
// begins to write an answer on it. Several of them are being read at the same time, each
// by another worker. Sound requests share the tenant and the first part.
func playParallel(ctx context.Context, s *site) (string, error) {
	var mu sync.Mutex
	var crashes, arrivals []time.Time
	err := s.addWorkers(ctx, engineService, parallelWorkers, 24, func(k *worker) answerFunc {
		return func(w http.ResponseWriter, r *http.Request, _ []byte) {
			id, worker, prompt := r.Header.Get("Request-Id"), k.currentID(), r.Header.Get("Prompt-Prefix")
			crashing := slices.ContainsFunc(strings.Split(prompt, ","), func(part string) bool {
				return strings.HasPrefix(part, crashingPart+":")
			})
			s.Record.printf("worker %s gets %s, crashing %t, Prompt-Prefix %s", worker, id, crashing, prompt)
			if crashing {
				mu.Lock()
				arrivals = append(arrivals, time.Now())
				mu.Unlock()
			}
			var tokens int
			if _, err := fmt.Sscanf(r.Header.Get("Token-Usage"), "%d,", &tokens); err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			pause(r.Context(), time.Duration(float64(tokens)/prefillTokensPerMS*float64(time.Millisecond)))
			if r.Context().Err() != nil {
				return
			}
			if !crashing {
				k.stream(w, r, 5, 10*time.Millisecond)
				return
			}
			if k.crash(ctx, parallelDown) {
				mu.Lock()
				crashes = append(crashes, time.Now())
				mu.Unlock()
			}
			panic(http.ErrAbortHandler)
		}
	})
	if err != nil {
		return "", err
	}
	s.configure([]map[string]any{route("ask", "stream", engineService, map[string]any{"max_attempts": 1})})
	if err := s.startGateways(ctx, 3); err != nil {
		return "", err
	}
	s.settle(ctx)
	playCtx, stop := context.WithTimeout(ctx, parallelTime)
	defer stop()
	var requesters sync.WaitGroup
	send := func(q *requester, long bool) {
		part, own := "7a11c0de", 400
		if long {
			own = parallelTokens
		}
		if long && s.Trouble {
			part = crashingPart
		}
		c := &call{ID: newID(), Method: http.MethodPost, Path: "/ask/x", Key: tenantKey, Body: "prompt", Headers: []string{
			"Model: " + model, fmt.Sprintf("Token-Usage: %d,5", 96+64+own),
			fmt.Sprintf("Prompt-Prefix: 5c1e07a2:96,%s:64,%08x:%d", part, rand.Uint32(), own),
		}}
		q.do(c)
		s.Record.printf("requester sent %s to %s, long %t, part %s: status %d, complete %t, error %v", c.ID, q.gateway.name, long, part, c.Status, c.Complete, c.Err)
	}
	for i := range 6 {
		requesters.Go(func() {
			q := &requester{gateway: s.gateways[i%3]}
			defer q.close()
			for playCtx.Err() == nil {
				send(q, false)
				pause(playCtx, 100*time.Millisecond)
			}
		})
	}
	requesters.Go(func() {
		for i := 0; playCtx.Err() == nil; i++ {
			q := &requester{gateway: s.gateways[i%3]}
			requesters.Go(func() {
				defer q.close()
				send(q, true)
			})
			pause(playCtx, parallelInterval)
		}
	})
	requesters.Wait()
	mu.Lock()
	defer mu.Unlock()
	s.Record.printf("%d crashes, %d requests with the part reached workers", len(crashes), len(arrivals))
	late := countLate(arrivals, crashes)
	s.Record.printf("%d of them later than %s after the fifth crash", late, stableWindow)
	if late <= crashingBound {
		return "", nil
	}
	return fmt.Sprintf("BUDGET: %d requests with the part reached workers later than %s after the fifth crash", late, stableWindow), nil
}

// countLate returns the number of arrivals that the rule counts.
func countLate(arrivals, crashes []time.Time) int {
	late := 0
	for _, at := range arrivals {
		if len(crashes) >= 5 && at.After(crashes[4].Add(stableWindow)) {
			late++
		}
	}
	return late
}
