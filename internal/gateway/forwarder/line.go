package forwarder

import (
	"context"
	"slices"
	"time"

	"gentianstep.example/gentianstep/internal/routing/shedder"
)

// waiter is a request that waits for capacity at an upstream.
type waiter struct {
	// request is what the request is weighed by, as of its latest choice.
	request shedder.Request
	// competes is false while the request waits for something else than capacity.
	competes bool
	// pace is that of the request's route, work the estimate of an engine that
	// replaces it, or 0.
	pace *pace
	work time.Duration
	// ready is closed when the request should try again.
	ready chan struct{}
}

// waitQueue holds the requests that wait for capacity of one service. They are served
// in the order of the shedder.
type waitQueue struct {
	waiters []*waiter
	// paces holds how long requests of each route take, all that of all requests.
	paces map[string]*pace
	all   pace
	usage shedder.Usage
	// inFlight is the number of requests that this VM has at upstreams.
	inFlight int
	// returnsFrom is the time given to the client that was refused last.
	returnsFrom time.Time
}

// queue returns the queue of the request's service. The caller holds x.mu.
func (x *exchange) queue() *waitQueue {
	q, ok := x.queues[x.service]
	if !ok {
		q = &waitQueue{paces: make(map[string]*pace)}
		x.queues[x.service] = q
	}
	return q
}

func (q *waitQueue) add(w *waiter) { q.waiters = append(q.waiters, w) }

// remove deletes a request from the queue. It reports whether it was there.
func (q *waitQueue) remove(w *waiter) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}

// wake removes a request and lets it try again, if it is in the queue.
func (q *waitQueue) wake(w *waiter) {
	if q.remove(w) {
		close(w.ready)
	}
}

// wakeFirst wakes the first request in the order of service.
func (q *waitQueue) wakeFirst(now time.Time) {
	if len(q.waiters) > 0 {
		q.wake(slices.MinFunc(q.waiters, func(a, b *waiter) int { return shedder.Compare(now, &a.request, &b.request) }))
	}
}

// waitForCapacity returns true when an upstream of the service may have
// capacity, and false at the deadline or when ctx is done. The caller holds
// x.mu, which is released during the wait.
func (x *exchange) waitForCapacity(ctx context.Context, w *waiter, deadline time.Time) bool {
	q := x.queue()
	w.ready = make(chan struct{})
	q.add(w)
	x.mu.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	woken := false
	select {
	case <-w.ready:
		woken = true
	case <-timer.C:
	case <-ctx.Done():
	}
	x.mu.Lock()
	if !woken {
		select {
		case <-w.ready:
			q.wakeFirst(time.Now()) // passes the wake-up on to the next request
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
	now, q := time.Now(), x.queue()
	q.inFlight--
	x.recordPace(now, q)
	q.wakeFirst(now)
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
	x.queue().wakeFirst(time.Now())
	return true
}
