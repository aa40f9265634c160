package forwarder

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// waiter is a request that waits for capacity at an upstream.
type waiter struct {
	priority int
	deadline time.Time
	// ready is closed when the request should try again.
	ready chan struct{}
}

// waitQueue holds the requests that wait for capacity of one service, ordered
// by priority and then by deadline. A client that was refused and retries has
// less time left, and goes before others of its priority.
type waitQueue struct {
	waiters []*waiter
}

// add inserts a request in the order of the queue.
func (q *waitQueue) add(w *waiter) {
	i, _ := slices.BinarySearchFunc(q.waiters, w, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), a.deadline.Compare(b.deadline))
	})
	q.waiters = slices.Insert(q.waiters, i, w)
}

// remove deletes a request from the queue if it is there.
func (q *waitQueue) remove(w *waiter) {
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
	}
}

// wakeFirst removes the first request and lets it try again.
func (q *waitQueue) wakeFirst() {
	if len(q.waiters) == 0 {
		return
	}
	w := q.waiters[0]
	q.waiters = slices.Delete(q.waiters, 0, 1)
	close(w.ready)
}

// waitForCapacity returns true when an upstream of the service may have
// capacity, and false at the deadline or when ctx is done. The caller holds
// f.mu, which is released during the wait.
func (f *Forwarder) waitForCapacity(ctx context.Context, service string, w *waiter, deadline time.Time) bool {
	q, ok := f.queues[service]
	if !ok {
		q = &waitQueue{}
		f.queues[service] = q
	}
	w.ready = make(chan struct{})
	q.add(w)
	f.mu.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	woken := false
	select {
	case <-w.ready:
		woken = true
	case <-timer.C:
	case <-ctx.Done():
	}
	f.mu.Lock()
	if !woken {
		select {
		case <-w.ready:
			q.wakeFirst() // passes the wake-up on to the next request
		default:
			q.remove(w)
		}
	}
	return woken && ctx.Err() == nil
}

// releaseUpstream ends the request's use of its upstream and wakes the next
// waiting request.
func (x *exchange) releaseUpstream() {
	x.markPromptRead()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.picker.EndRequest(x.choice)
	if q, ok := x.queues[x.service]; ok {
		q.wakeFirst()
	}
}

// markPromptRead records that the upstream has read the prompt and wakes the
// next waiting request. It returns false if that was recorded before.
func (x *exchange) markPromptRead() bool {
	if !x.readingPrompt {
		return false
	}
	x.readingPrompt = false
	x.mu.Lock()
	defer x.mu.Unlock()
	x.picker.EndPrefill(x.choice)
	if q, ok := x.queues[x.service]; ok {
		q.wakeFirst()
	}
	return true
}
