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
	// sharedTokens and ownTokens are the lengths of the part that crashes workers and of the
	// part behind it: the longest ones of the site.
	sharedTokens = 39_900
	ownTokens    = 53_200
	// prefillTokensPerMS is how fast a worker reads a prompt.
	prefillTokensPerMS = 61.8
	// parallelInterval is the time between two such prompts, at all gateways together.
	parallelInterval = 300 * time.Millisecond
	parallelDown     = 2 * time.Second
	parallelWorkers  = 12
	parallelGateways = 3
	parallelTime     = 60 * time.Second
	// crashingBound is the number of requests that may reach workers after the fifth crash.
	crashingBound = 3
)

// parallelCase is the state of the case.
type parallelCase struct {
	site *site

	mu      sync.Mutex
	crashes []time.Time
	// arrivals are the times at which requests with the part reached workers.
	arrivals []time.Time
}

// playParallel sends long prompts with a part that crashes each worker which begins to
// write an answer on it. Several of them are being read at the same time, each by another
// worker. Sound requests share the tenant and the first part.
func playParallel(ctx context.Context, s *site) (string, error) {
	c := &parallelCase{site: s}
	err := s.addWorkers(ctx, engineService, parallelWorkers, 24, func(k *worker) answerFunc {
		return func(w http.ResponseWriter, r *http.Request, _ []byte) { c.answer(ctx, k, w, r) }
	})
	if err != nil {
		return "", err
	}
	s.configure([]map[string]any{route("ask", "stream", engineService, map[string]any{"resumable": true})})
	if err := s.startGateways(ctx, parallelGateways); err != nil {
		return "", err
	}
	s.settle(ctx)
	playCtx, stop := context.WithTimeout(ctx, parallelTime)
	defer stop()
	var requesters sync.WaitGroup
	for i := range 2 * parallelGateways {
		requesters.Go(func() {
			q := &requester{gateway: s.gateways[i%parallelGateways]}
			defer q.close()
			for playCtx.Err() == nil {
				c.send(q, false)
				pause(playCtx, 100*time.Millisecond)
			}
		})
	}
	for i := 0; playCtx.Err() == nil; i++ {
		requesters.Go(func() {
			q := &requester{gateway: s.gateways[i%parallelGateways]}
			defer q.close()
			c.send(q, true)
		})
		pause(playCtx, parallelInterval)
	}
	requesters.Wait()
	return c.judge(), nil
}

// answer reads the prompt, then streams events, or crashes its worker as it begins to.
func (c *parallelCase) answer(ctx context.Context, k *worker, w http.ResponseWriter, r *http.Request) {
	id, prompt := r.Header.Get("Request-Id"), r.Header.Get("Prompt-Prefix")
	crashing := slices.ContainsFunc(strings.Split(prompt, ","), func(part string) bool {
		return strings.HasPrefix(part, crashingPart+":")
	})
	c.site.Record.printf("worker %s gets %s, crashing %t, Prompt-Prefix %s", k.currentID(), id, crashing, prompt)
	if crashing {
		c.mu.Lock()
		c.arrivals = append(c.arrivals, time.Now())
		c.mu.Unlock()
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
		c.mu.Lock()
		c.crashes = append(c.crashes, time.Now())
		c.mu.Unlock()
	}
	panic(http.ErrAbortHandler)
}

// send sends a sound request, or a long one, which has the part that crashes workers.
func (c *parallelCase) send(q *requester, long bool) {
	part, shared, own := "7a11c0de", 64, 400
	if long {
		shared, own = sharedTokens, ownTokens
	}
	if long && c.site.Trouble {
		part = crashingPart
	}
	sent := &call{ID: newID(), Method: http.MethodPost, Path: "/ask/x", Key: tenantKey, Body: "prompt", Headers: []string{
		"Model: " + model, fmt.Sprintf("Token-Usage: %d,5", 96+shared+own),
		fmt.Sprintf("Prompt-Prefix: 5c1e07a2:96,%s:%d,%08x:%d", part, shared, rand.Uint32(), own),
	}}
	q.do(sent)
	c.site.Record.printf("requester sent %s to %s, long %t, part %s: status %d, complete %t, error %v",
		sent.ID, q.gateway.name, long, part, sent.Status, sent.Complete, sent.Err)
}

// judge counts the requests that reached workers too late.
func (c *parallelCase) judge() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.site.Record.printf("%d crashes, %d requests with the part reached workers", len(c.crashes), len(c.arrivals))
	late := countLate(c.arrivals, c.crashes)
	c.site.Record.printf("%d of them later than %s after the fifth crash", late, stableWindow)
	if late <= crashingBound {
		return ""
	}
	return fmt.Sprintf("BUDGET: %d requests with the part reached workers later than %s after the fifth crash", late, stableWindow)
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
