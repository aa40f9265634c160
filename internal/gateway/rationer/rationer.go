// Package rationer keeps the requests of a VM within the quotas of their organisations. It
// holds the credit that the hub grants to the VM, and the requests that wait for some.
package rationer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/routing/matcher"
	"gentianstep.example/gentianstep/internal/routing/throttler"
)

const (
	// maxWait is the longest wait for credit: a report to the hub and its answer, over slow
	// links and for a hub that serves many VMs. maxWaitShare bounds it as a share of the
	// latency objective.
	maxWait      = 250 * time.Millisecond
	maxWaitShare = 0.5
	// pollInterval is how often waiting requests look at the VM's own share, whose growth
	// wakes none.
	pollInterval = 25 * time.Millisecond
)

// Labels of the metric for requests of organisations with a quota.
const (
	outcomeAdmitted  = "admitted"
	outcomeWaited    = "admitted_after_wait"
	outcomeExhausted = "refused_exhausted"
	outcomeNoCredit  = "refused_no_credit"
)

// Config configures a Rationer.
type Config struct {
	// Configuration returns the configuration in force, nil if there is none.
	Configuration func() *matcher.Configuration
	Bounds        Bounds
	// OnDemand is called when a request begins to wait.
	OnDemand func()
	Meter    *meter.Meter
}

// Rationer is safe for concurrent use.
type Rationer struct {
	cfg Config

	mu      sync.Mutex
	bounds  Bounds
	credits *throttler.Credits
	// current is the configuration whose quotas apply.
	current *matcher.Configuration
	queues  map[string]*queue
	returns map[string]*throttler.Returns
}

// New returns a Rationer without credit.
func New(cfg Config) *Rationer {
	return &Rationer{
		cfg:     cfg,
		bounds:  cfg.Bounds,
		credits: throttler.NewCredits(),
		queues:  make(map[string]*queue),
		returns: make(map[string]*throttler.Returns),
	}
}

// Request is a request whose organisation may have a quota.
type Request struct {
	Organisation *matcher.Organisation
	// Tokens is the number of tokens of the prompt and the longest output, 0 if not stated.
	Tokens   float64
	Priority int
	// ArrivedAt and Objective bound the wait, Deadline the time at which a refused client
	// returns. An Objective of 0 is none.
	ArrivedAt time.Time
	Objective time.Duration
	Deadline  time.Time
}

// waitUntil returns the end of the wait for credit.
func (r Request) waitUntil() time.Time {
	wait := maxWait
	if r.Objective > 0 {
		wait = min(wait, time.Duration(maxWaitShare*float64(r.Objective)))
	}
	if at := r.ArrivedAt.Add(wait); at.Before(r.Deadline) {
		return at
	}
	return r.Deadline
}

// Admit charges a request to the quota of its organisation. It waits for credit that may
// come soon, and refuses the request if the quota is used up.
func (r *Rationer) Admit(ctx context.Context, request Request) (*Charge, *classifier.Error) {
	o := request.Organisation
	if o == nil || !o.Quota.Limited() {
		return nil, nil
	}
	w := &waiter{amount: o.Quota.Amount(request.Tokens), priority: request.Priority, ready: make(chan struct{})}
	charge := &Charge{rationer: r, organisation: o.Name, amount: w.amount}
	waitUntil := request.waitUntil()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.update(now)
	q := r.queue(o.Name)
	switch at := r.credits.RoomAt(now, o.Name, w.amount); {
	case !q.isBehind(w) && r.credits.Take(now, o.Name, w.amount):
		r.count(outcomeAdmitted)
		return charge, nil
	case at.After(waitUntil):
		r.count(outcomeExhausted)
		return nil, r.refuse(now, request, w.amount, at, "has used up its quota")
	}
	q.add(w)
	r.setDemand(o.Name, q)
	r.cfg.OnDemand()
	if r.wait(ctx, o.Name, w, waitUntil) {
		r.count(outcomeWaited)
		return charge, nil
	}
	q.remove(w)
	r.setDemand(o.Name, q)
	if ctx.Err() != nil {
		return nil, classifier.Wrap(classifier.CallerGone, ctx.Err(), "the client left while waiting for its quota")
	}
	r.count(outcomeNoCredit)
	now = time.Now()
	return nil, r.refuse(now, request, w.amount, r.credits.RoomAt(now, o.Name, w.amount), "got no credit of its quota in time")
}

// wait waits until w has got its credit, and reports whether it has. The caller holds r.mu,
// which is released during the wait.
func (r *Rationer) wait(ctx context.Context, organisation string, w *waiter, until time.Time) bool {
	for {
		pause := time.NewTimer(min(pollInterval, time.Until(until)))
		r.mu.Unlock()
		select {
		case <-w.ready:
		case <-pause.C:
		case <-ctx.Done():
		}
		pause.Stop()
		r.mu.Lock()
		now := time.Now()
		r.dispatch(now, organisation)
		select {
		case <-w.ready:
			return true
		default:
		}
		if ctx.Err() != nil || !now.Before(until) {
			return false
		}
	}
}

// refuse returns the refusal of a request that its quota does not cover. Clients return as
// the VM's share of the quota allows, from roomAt on.
func (r *Rationer) refuse(now time.Time, request Request, amount float64, roomAt time.Time, reason string) *classifier.Error {
	name := request.Organisation.Name
	age, known := r.credits.StateAge(now, name)
	cause := fmt.Errorf("amount %.0f, credit %.0f, room in %v, state of the hub known: %t, age %v",
		amount, r.credits.Credit(now, name), max(roomAt.Sub(now), 0), known, age)
	err := classifier.Wrap(classifier.RateLimited, cause, "organisation %s %s", name, reason)
	s := r.returns[name]
	if s == nil {
		s = &throttler.Returns{}
		r.returns[name] = s
	}
	from := now
	if roomAt.After(from) {
		from = roomAt
	}
	at, ok := s.Reserve(from, request.Deadline, r.credits.Share(name)/max(amount, 1))
	if !ok {
		at = roomAt
	}
	err.RetryAt, err.Final = at, !ok || !at.Before(request.Deadline)
	return err
}

// dispatch gives credit to the requests of an organisation that wait, in their order.
func (r *Rationer) dispatch(now time.Time, organisation string) {
	q := r.queue(organisation)
	before := len(q.waiters)
	for len(q.waiters) > 0 && r.credits.Take(now, organisation, q.waiters[0].amount) {
		q.popFirst()
	}
	if len(q.waiters) != before {
		r.setDemand(organisation, q)
	}
}

func (r *Rationer) setDemand(organisation string, q *queue) {
	first, sum := q.demand()
	r.credits.SetDemand(organisation, first, sum)
}

func (r *Rationer) queue(organisation string) *queue {
	q := r.queues[organisation]
	if q == nil {
		q = &queue{}
		r.queues[organisation] = q
	}
	return q
}

func (r *Rationer) count(outcome string) { r.cfg.Meter.Count(meter.QuotaRequests, outcome, 1) }

// Charge is the amount that a request has used of its organisation's quota. A nil Charge is
// that of a request without a quota.
type Charge struct {
	rationer     *Rationer
	organisation string
	amount       float64
}

// Release ends a request. One that no upstream has run gives its amount back.
func (c *Charge) Release(run bool) {
	if c == nil || run {
		return
	}
	r := c.rationer
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.credits.Refund(now, c.organisation, c.amount)
	r.dispatch(now, c.organisation)
}
