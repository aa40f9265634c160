package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// batchSize sound requests are sent at once every batchInterval.
	batchSize     = 10
	batchInterval = 10 * time.Second
	// crashFrom is when the requests with the part that crashes workers begin to come, one
	// every crashInterval.
	crashFrom     = 21 * time.Second
	crashInterval = 250 * time.Millisecond
	crashDown     = 5 * time.Second
	batchTime     = 66 * time.Second
	// batchBudget is the time budget of requests.
	batchBudget = 4 * time.Second
	// minCounted is the number of sound requests that the rule needs of each kind.
	minCounted = 20
)

// batchCase is the state of the case.
type batchCase struct {
	site  *site
	start time.Time

	mu      sync.Mutex
	crashes []time.Time
	// began holds the requests that began at a worker.
	began map[string]bool
	// sound holds the first attempts of sound requests.
	sound []*call
}

// playBatch sends sound requests in batches. After some time, requests come that share the
// tenant and the first part with them and have a part that crashes workers.
func playBatch(ctx context.Context, s *site) (string, error) {
	b := &batchCase{site: s, began: make(map[string]bool)}
	err := s.addWorkers(ctx, engineService, 12, 24, func(k *worker) answerFunc {
		return func(w http.ResponseWriter, r *http.Request, _ []byte) { b.answer(ctx, k, w, r) }
	})
	if err != nil {
		return "", err
	}
	s.configure([]map[string]any{route("ask", "stream", engineService, map[string]any{"timeout_ms": batchBudget.Milliseconds()})})
	if err := s.startGateways(ctx, 3); err != nil {
		return "", err
	}
	s.settle(ctx)
	playCtx, stop := context.WithTimeout(ctx, batchTime)
	defer stop()
	b.start = time.Now()
	var requesters sync.WaitGroup
	requesters.Go(func() {
		for playCtx.Err() == nil {
			for i := range batchSize {
				requesters.Go(func() { b.sendSound(playCtx, i) })
			}
			pause(playCtx, batchInterval)
		}
	})
	pause(playCtx, crashFrom)
	for i := 0; playCtx.Err() == nil; i++ {
		if s.Trouble {
			requesters.Go(func() { b.send(i, batchBudget, crashingPart) })
		}
		pause(playCtx, crashInterval)
	}
	requesters.Wait()
	return b.judge()
}

// answer answers a request, or crashes its worker as it begins to.
func (b *batchCase) answer(ctx context.Context, k *worker, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	crashing := strings.Contains(r.Header.Get("Prompt-Prefix"), ","+crashingPart+":")
	b.site.Record.printf("worker %s runs %s, crashing %t", k.currentID(), id, crashing)
	pause(r.Context(), 30*time.Millisecond)
	if r.Context().Err() != nil {
		return
	}
	b.mu.Lock()
	b.began[id] = true
	b.mu.Unlock()
	if !crashing {
		k.stream(w, r, 5, 10*time.Millisecond)
		return
	}
	if k.crash(ctx, crashDown) {
		b.mu.Lock()
		b.crashes = append(b.crashes, time.Now())
		b.mu.Unlock()
	}
	panic(http.ErrAbortHandler)
}

// send sends one attempt to a gateway.
func (b *batchCase) send(gateway int, left time.Duration, part string) *call {
	g := b.site.gateways[gateway%len(b.site.gateways)]
	q := &requester{gateway: g}
	defer q.close()
	c := &call{ID: newID(), Method: http.MethodPost, Path: "/ask/x", Key: tenantKey, Body: "prompt", Timeout: left, Headers: []string{
		"Model: " + model, "Token-Usage: 400,5", fmt.Sprintf("Prompt-Prefix: 5c1e07a2:200,%s:64,%08x:136", part, rand.Uint32()),
	}}
	q.do(c)
	b.site.Record.printf("requester sent %s to %s, part %s: status %d, Retry-After %q, complete %t, error %v",
		c.ID, g.name, part, c.Status, c.Header.Get("Retry-After"), c.Complete, c.Err)
	return c
}

// sendSound sends a sound request. After a refusal it comes back once, at another gateway,
// unless Retry-After is over a third of the time that it has left.
func (b *batchCase) sendSound(ctx context.Context, i int) {
	c := b.send(i, batchBudget, "7a11c0de")
	b.mu.Lock()
	b.sound = append(b.sound, c)
	b.mu.Unlock()
	seconds, err := strconv.ParseFloat(c.Header.Get("Retry-After"), 64)
	wait, left := time.Duration(seconds*float64(time.Second)), batchBudget-time.Since(c.SentAt)
	if c.Status != http.StatusServiceUnavailable || err != nil || wait > left/3 {
		return
	}
	pause(ctx, wait)
	b.send(i+1, left-wait, "7a11c0de")
}

// judge compares the first attempts of sound requests before the first crash with those
// that the rule counts.
func (b *batchCase) judge() (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	crashesFrom := b.start.Add(crashFrom)
	from := crashesFrom.Add(2 * stableWindow)
	if n := len(b.crashes); n > 0 {
		from = b.crashes[min(n, 5)-1].Add(2 * stableWindow)
	}
	var before, beganBefore, during, beganDuring int
	for _, c := range b.sound {
		began := 0
		if b.began[c.ID] {
			began = 1
		}
		switch {
		case c.SentAt.Before(crashesFrom):
			before, beganBefore = before+1, beganBefore+began
		case c.SentAt.After(from):
			during, beganDuring = during+1, beganDuring+began
		}
	}
	b.site.Record.printf("%d crashes; sound requests that began at the first attempt: %d of %d before, %d of %d later than %s after the fifth crash or the last",
		len(b.crashes), beganBefore, before, beganDuring, during, 2*stableWindow)
	if before < minCounted || during < minCounted {
		return "", fmt.Errorf("too few sound requests: %d and %d", before, during)
	}
	if 2*beganDuring*before >= beganBefore*during {
		return "", nil
	}
	return fmt.Sprintf("LOST: %d of %d sound requests began at the first attempt, %d of %d before the crashes", beganDuring, during, beganBefore, before), nil
}
