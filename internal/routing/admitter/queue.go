package admitter

import (
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// enqueue queues a request, or refuses it if the estimated wait is too long or
// the queue is full.
func (a *Admitter) enqueue(now time.Time, r Request, c *class, f *flow) Decision {
	if a.slots == 0 {
		err := classifier.New(classifier.NoUpstream, "no slot is available")
		err.RetryAt = now.Add(noSlotRetryDelay)
		return refusedDecision(err)
	}
	wait := a.estimateWait(c, f)
	if err := a.checkWait(now, r, c, f, wait); err != nil {
		return refusedDecision(err)
	}
	displaced, err := a.displaceIfFull(now, r, c, f, wait)
	if err != nil {
		return refusedDecision(err)
	}
	expiresAt := a.expiresAt(now, r)
	w := &waiter{request: r, class: c, flow: f, expiresAt: expiresAt, expiryKind: a.expiryKind(r, expiresAt.Sub(now))}
	a.waiting[r.ID] = w
	a.expiry.add(w)
	c.enqueue(w)
	a.observeDemand(now)
	return Decision{Outcome: Queued, Wait: wait, ExpiresAt: w.expiresAt, Displaced: displaced}
}

func (a *Admitter) maxWait(p checker.Priority) time.Duration {
	if p == checker.Batch {
		return a.policy.BatchMaxWait.Std()
	}
	return a.policy.MaxWait.Std()
}

// expiresAt returns the time at which a waiting request expires: its maximum
// wait, or the latest start that still meets its deadline.
func (a *Admitter) expiresAt(now time.Time, r Request) time.Time {
	at := now.Add(a.maxWait(r.Priority))
	if r.Deadline.IsZero() {
		return at
	}
	latest := r.Deadline.Add(-a.estimator.holdTimeBound(r.Cost))
	if latest.Before(at) {
		return latest
	}
	return at
}

// expiryKind returns the error kind for a request that expires after limit:
// DeadlineUnmeetable if its own deadline sets the limit, Overloaded if the
// policy does.
func (a *Admitter) expiryKind(r Request, limit time.Duration) classifier.Kind {
	if limit < a.maxWait(r.Priority) {
		return classifier.DeadlineUnmeetable
	}
	return classifier.Overloaded
}

// checkWait returns an error if the estimated wait reaches the wait limit of the
// request.
func (a *Admitter) checkWait(now time.Time, r Request, c *class, f *flow, wait time.Duration) *classifier.Error {
	limit := a.expiresAt(now, r).Sub(now)
	if wait < limit {
		return nil
	}
	err := classifier.New(a.expiryKind(r, limit), "estimated wait of %s is over the limit of %s", wait.Round(time.Millisecond), limit.Round(time.Millisecond))
	err.RetryAt = a.reserveRetryAt(now, c, f, wait-limit)
	return err
}

// displaceIfFull makes room for a request in a full queue. It evicts the last
// request of the flow with the largest backlog. An interactive request evicts
// batch requests first, and a batch request evicts only batch requests. If the
// flow of the new request would itself have the largest backlog of the class,
// it returns an error for the new request instead.
func (a *Admitter) displaceIfFull(now time.Time, r Request, c *class, f *flow, wait time.Duration) ([]Refusal, *classifier.Error) {
	if len(a.waiting) < a.policy.QueueLength {
		return nil, nil
	}
	from := c
	if c == a.interactive && a.batch.waiting > 0 {
		from = a.batch
	}
	largest := from.largestBacklog()
	own := f.backlog() + r.Cost/float64(r.Weight)
	if largest == nil || (from == c && largest.backlog() <= own) {
		err := classifier.New(classifier.Overloaded, "the queue is full")
		err.RetryAt = a.reserveRetryAt(now, c, f, wait)
		return nil, err
	}
	last := largest.queue[len(largest.queue)-1]
	a.removeWaiter(last)
	err := classifier.New(classifier.Overloaded, "displaced from a full queue")
	err.RetryAt = a.reserveRetryAt(now, from, largest, a.estimateWait(from, largest))
	return []Refusal{{ID: last.request.ID, Err: err}}, nil
}

// refuseExpired returns the refusal of a request that expired in the queue.
func (a *Admitter) refuseExpired(now time.Time, w *waiter) Refusal {
	err := classifier.New(w.expiryKind, "no slot became free in time")
	err.RetryAt = a.reserveRetryAt(now, w.class, w.flow, a.estimateWait(w.class, w.flow))
	return Refusal{ID: w.request.ID, Err: err}
}

func refusedDecision(err *classifier.Error) Decision {
	return Decision{Outcome: Refused, Err: err}
}
