package admitter

import (
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// enqueue lets a request wait if it can be served in time.
func (a *Admitter) enqueue(now time.Time, r Request, c *class, f *flow) Decision {
	if a.slots == 0 {
		err := classifier.New(classifier.NoUpstream, "no slot is available")
		err.RetryAt = now.Add(retryWithoutSlots)
		return refused(err)
	}
	wait := a.estimateWait(c, f)
	if err := a.unmeetable(now, r, c, f, wait); err != nil {
		return refused(err)
	}
	displaced, err := a.makeRoom(now, r, c, f, wait)
	if err != nil {
		return refused(err)
	}
	giveUpAt := a.giveUpAt(now, r)
	w := &waiter{request: r, class: c, flow: f, giveUpAt: giveUpAt, overdueKind: a.overdueKind(r, giveUpAt.Sub(now))}
	a.waiting[r.ID] = w
	a.expiry.add(w)
	c.enqueue(w)
	a.observeDemand(now)
	return Decision{Outcome: Queued, Wait: wait, GiveUpAt: w.giveUpAt, Displaced: displaced}
}

func (a *Admitter) maxWait(p checker.Priority) time.Duration {
	if p == checker.Batch {
		return a.policy.BatchMaxWait.Std()
	}
	return a.policy.MaxWait.Std()
}

// giveUpAt returns when waiting any longer is of no use.
func (a *Admitter) giveUpAt(now time.Time, r Request) time.Time {
	at := now.Add(a.maxWait(r.Priority))
	if r.Deadline.IsZero() {
		return at
	}
	latest := r.Deadline.Add(-a.estimator.likely(r.Cost))
	if latest.Before(at) {
		return latest
	}
	return at
}

// overdueKind tells whether the caller's deadline or the policy ends the wait.
func (a *Admitter) overdueKind(r Request, limit time.Duration) classifier.Kind {
	if limit < a.maxWait(r.Priority) {
		return classifier.DeadlineUnmeetable
	}
	return classifier.Overloaded
}

// unmeetable refuses a request that by the estimate would be given up.
func (a *Admitter) unmeetable(now time.Time, r Request, c *class, f *flow, wait time.Duration) *classifier.Error {
	limit := a.giveUpAt(now, r).Sub(now)
	if wait < limit {
		return nil
	}
	err := classifier.New(a.overdueKind(r, limit), "estimated wait of %s is over the limit of %s", wait.Round(time.Millisecond), limit.Round(time.Millisecond))
	err.RetryAt = a.returnAt(now, c, f, wait-limit)
	return err
}

// makeRoom frees a place in a full queue. The flow with the most waiting work
// for its weight gives it up, batch work first.
func (a *Admitter) makeRoom(now time.Time, r Request, c *class, f *flow, wait time.Duration) ([]Refusal, *classifier.Error) {
	if len(a.waiting) < a.policy.QueueLength {
		return nil, nil
	}
	from := c
	if c == a.interactive && a.batch.waiting > 0 {
		from = a.batch
	}
	longest := from.longest()
	own := f.backlog() + r.Cost/float64(r.Weight)
	if longest == nil || (from == c && longest.backlog() <= own) {
		err := classifier.New(classifier.Overloaded, "the queue is full")
		err.RetryAt = a.returnAt(now, c, f, wait)
		return nil, err
	}
	last := longest.queue[len(longest.queue)-1]
	a.remove(last)
	err := classifier.New(classifier.Overloaded, "displaced from a full queue")
	err.RetryAt = a.returnAt(now, from, longest, a.estimateWait(from, longest))
	return []Refusal{{ID: last.request.ID, Err: err}}, nil
}

// overdue ends a request that was not admitted in time.
func (a *Admitter) overdue(now time.Time, w *waiter) Refusal {
	err := classifier.New(w.overdueKind, "no slot became free in time")
	err.RetryAt = a.returnAt(now, w.class, w.flow, a.estimateWait(w.class, w.flow))
	return Refusal{ID: w.request.ID, Err: err}
}

func refused(err *classifier.Error) Decision {
	return Decision{Outcome: Refused, Err: err}
}
