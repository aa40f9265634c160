package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	resumeEvents   = 12
	resumeInterval = 40 * time.Millisecond
	// greyShare is the share of requests that the grey worker fails.
	greyShare = 0.45
)

// playResume sends streams that may be resumed, while one worker after the other crashes
// and another one fails a part of its requests.
func playResume(ctx context.Context, s *site) (string, error) {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(1, 1))
	err := s.addWorkers(ctx, engineService, 4, 24, func(k *worker) answerFunc {
		return func(w http.ResponseWriter, r *http.Request, _ []byte) {
			id := r.Header.Get("Request-Id")
			s.Record.printf("worker %s runs %s after event %q", k.currentID(), id, r.Header.Get("Last-Event-Id"))
			mu.Lock()
			fails := s.Trouble && k.place == engineService+"-1" && random.Float64() < greyShare
			mu.Unlock()
			if fails {
				k.sign(w, r)
				s.Record.printf("worker %s answers %s with 500", k.currentID(), id)
				http.Error(w, "failed", http.StatusInternalServerError)
				return
			}
			k.stream(w, r, resumeEvents, resumeInterval)
		}
	})
	if err != nil {
		return "", err
	}
	s.configure([]map[string]any{route("match", "stream", engineService, map[string]any{"resumable": true})})
	if err := s.startGateways(ctx, 2); err != nil {
		return "", err
	}
	s.settle(ctx)
	playCtx, stop := context.WithTimeout(ctx, 20*time.Second)
	defer stop()
	if s.Trouble {
		go func() {
			for i := 0; playCtx.Err() == nil; i++ {
				pause(playCtx, 2*time.Second)
				s.workers[1+i%3].crash(playCtx, time.Second)
			}
		}()
	}
	var requesters sync.WaitGroup
	var broken []string
	for i := range 16 {
		requesters.Go(func() {
			q := &requester{gateway: s.gateways[i%2]}
			defer q.close()
			for playCtx.Err() == nil {
				c := &call{ID: newID(), Method: http.MethodPost, Path: "/match/x", Key: tenantKey, Body: "prompt",
					Headers: []string{"Model: " + model, "Token-Usage: 400,12", fmt.Sprintf("Prompt-Prefix: 5c1e07a2:200,%08x:200", rand.Uint32())}}
				s.Record.printf("requester sends %s to %s", c.ID, q.gateway.name)
				q.do(c)
				s.Record.printf("requester gets %s: status %d, complete %t, %d bytes, error %v", c.ID, c.Status, c.Complete, len(c.Answer), c.Err)
				if c.Complete && c.Status == http.StatusOK && c.Answer != wholeStream(c.ID) {
					s.Record.printf("ORDER: %s ends as complete with %q", c.ID, c.Answer)
					mu.Lock()
					broken = append(broken, c.ID)
					mu.Unlock()
				}
				pause(playCtx, 50*time.Millisecond)
			}
		})
	}
	requesters.Wait()
	if len(broken) == 0 {
		return "", nil
	}
	return fmt.Sprintf("ORDER: %d streams end as complete before their last event", len(broken)), nil
}

func wholeStream(id string) string {
	text := ""
	for n := 1; n <= resumeEvents; n++ {
		text += eventText(n, id)
	}
	return text
}
