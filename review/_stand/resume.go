package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	resumeEvents   = 12
	resumeInterval = 40 * time.Millisecond
	resumeWorkers  = 8
	// greyShare is the share of requests that the grey worker fails. After greyTime another
	// worker is grey.
	greyShare = 0.45
	greyTime  = 6500 * time.Millisecond
	// resumeCrashes of the other workers crash every resumeCrashInterval, for resumeDown.
	resumeCrashes       = 2
	resumeCrashInterval = 2 * time.Second
	resumeDown          = time.Second
	resumeRequesters    = 32
	resumeTime          = 70 * time.Second
)

// resumeCase is the state of the case.
type resumeCase struct {
	site *site
	// grey is the index of the grey worker.
	grey atomic.Int64

	mu     sync.Mutex
	random *rand.Rand
	// broken holds the streams that break the rule.
	broken []string
}

// playResume sends streams that may be resumed, while some workers crash and another one
// fails a part of its requests.
func playResume(ctx context.Context, s *site) (string, error) {
	c := &resumeCase{site: s, random: rand.New(rand.NewPCG(1, 1))}
	err := s.addWorkers(ctx, engineService, resumeWorkers, 24, func(k *worker) answerFunc {
		return func(w http.ResponseWriter, r *http.Request, _ []byte) { c.answer(k, w, r) }
	})
	if err != nil {
		return "", err
	}
	s.configure([]map[string]any{route("match", "stream", engineService, map[string]any{"resumable": true})})
	if err := s.startGateways(ctx, 2); err != nil {
		return "", err
	}
	s.settle(ctx)
	playCtx, stop := context.WithTimeout(ctx, resumeTime)
	defer stop()
	if s.Trouble {
		go c.changeGrey(playCtx)
		go c.crash(playCtx)
	}
	var requesters sync.WaitGroup
	for i := range resumeRequesters {
		requesters.Go(func() {
			q := &requester{gateway: s.gateways[i%len(s.gateways)]}
			defer q.close()
			for playCtx.Err() == nil {
				c.send(q)
				pause(playCtx, 50*time.Millisecond)
			}
		})
	}
	requesters.Wait()
	if len(c.broken) == 0 {
		return "", nil
	}
	return fmt.Sprintf("ORDER: %d streams end as complete before their last event", len(c.broken)), nil
}

// changeGrey makes one worker after the other the grey one.
func (c *resumeCase) changeGrey(ctx context.Context) {
	for n := int64(1); ctx.Err() == nil; n++ {
		pause(ctx, greyTime)
		c.grey.Store(n % resumeWorkers)
	}
}

// crash crashes workers other than the grey one.
func (c *resumeCase) crash(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		pause(ctx, resumeCrashInterval)
		for i := range resumeCrashes {
			other := int(c.grey.Load()) + 1 + (resumeCrashes*n+i)%(resumeWorkers-1)
			c.site.workers[other%resumeWorkers].crash(ctx, resumeDown)
		}
	}
}

// answer streams the events of a request, or fails it.
func (c *resumeCase) answer(k *worker, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	c.site.Record.printf("worker %s runs %s after event %q", k.currentID(), id, r.Header.Get("Last-Event-Id"))
	if !c.fails(k) {
		k.stream(w, r, resumeEvents, resumeInterval)
		return
	}
	k.sign(w, r)
	c.site.Record.printf("worker %s answers %s with 500", k.currentID(), id)
	http.Error(w, "failed", http.StatusInternalServerError)
}

func (c *resumeCase) fails(k *worker) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.site.Trouble && k == c.site.workers[c.grey.Load()] && c.random.Float64() < greyShare
}

// send sends a request and checks its stream.
func (c *resumeCase) send(q *requester) {
	sent := &call{ID: newID(), Method: http.MethodPost, Path: "/match/x", Key: tenantKey, Body: "prompt", Headers: []string{
		"Model: " + model, "Token-Usage: 400,12", fmt.Sprintf("Prompt-Prefix: 5c1e07a2:200,%08x:200", rand.Uint32()),
	}}
	c.site.Record.printf("requester sends %s to %s", sent.ID, q.gateway.name)
	q.do(sent)
	c.site.Record.printf("requester gets %s: status %d, complete %t, %d bytes, error %v", sent.ID, sent.Status, sent.Complete, len(sent.Answer), sent.Err)
	if !sent.Complete || sent.Status != http.StatusOK || sent.Answer == wholeStream(sent.ID) {
		return
	}
	c.site.Record.printf("ORDER: %s ends as complete with %q", sent.ID, sent.Answer)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, sent.ID)
}

func wholeStream(id string) string {
	text := ""
	for n := 1; n <= resumeEvents; n++ {
		text += eventText(n, id)
	}
	return text
}
