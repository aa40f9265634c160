package admitter

import (
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// Config configures an Admitter.
type Config struct {
	Policy checker.AdmissionPolicy
	// Slots is the maximum number of requests that run at the same time.
	Slots int
}

// Admitter schedules requests onto a limited number of slots, which it shares
// fairly between organisations. It is not safe for concurrent use.
type Admitter struct {
	policy      checker.AdmissionPolicy
	slots       int
	interactive *class
	batch       *class
	waiting     map[string]*waiter
	running     map[string]*runningRequest
	expiry      indexedHeap[*waiter]
	estimator   estimator
	demand      demandTracker
}

// New returns an Admitter without waiting or running requests.
func New(cfg Config) *Admitter {
	return &Admitter{
		policy:      cfg.Policy,
		slots:       max(cfg.Slots, 0),
		interactive: newClass(),
		batch:       newClass(),
		waiting:     make(map[string]*waiter),
		running:     make(map[string]*runningRequest),
		demand:      demandTracker{window: cfg.Policy.DemandWindow.Std()},
	}
}

// Arrive admits, queues or refuses a new request.
func (a *Admitter) Arrive(now time.Time, r Request) Decision {
	r = r.normalised()
	if a.isTracked(r.ID) {
		return refusedDecision(classifier.New(classifier.Internal, "request %s is already known", r.ID))
	}
	c := a.classOf(r.Priority)
	f := c.flowOf(r.Organisation, r.Weight)
	if c.waiting == 0 && a.canStart(now, c) {
		a.startRequest(now, r, c, f)
		return Decision{Outcome: Admitted}
	}
	return a.enqueue(now, r, c, f)
}

// Finish releases the slot of a request and admits waiting requests to the free
// slots. An unknown ID has no effect.
func (a *Admitter) Finish(now time.Time, id string) Effects {
	h, ok := a.running[id]
	if !ok {
		return Effects{}
	}
	delete(a.running, id)
	held := now.Sub(h.startedAt)
	correction := a.estimator.costCorrection(held, h.request.Cost)
	a.estimator.observe(held, h.request.Cost)
	h.class.finishRequest(h.flow, correction)
	return Effects{Admitted: a.dispatch(now)}
}

// Cancel removes a waiting request after its caller has disconnected. It reports
// whether the request was still waiting.
func (a *Admitter) Cancel(now time.Time, id string) bool {
	w, ok := a.waiting[id]
	if !ok {
		return false
	}
	a.removeWaiter(w)
	a.observeDemand(now)
	return true
}

// Expire refuses the requests whose wait limit has passed, then admits batch
// requests for which the demand window has freed slots.
func (a *Admitter) Expire(now time.Time) Effects {
	var e Effects
	for {
		w, ok := a.expiry.peek()
		if !ok || w.expiresAt.After(now) {
			break
		}
		a.removeWaiter(w)
		e.Refused = append(e.Refused, a.refuseExpired(now, w))
	}
	e.Admitted = a.dispatch(now)
	a.interactive.pruneIdleFlows()
	a.batch.pruneIdleFlows()
	return e
}

// SetCapacity changes the number of slots. Running requests keep their slots,
// also when more run than the new number.
func (a *Admitter) SetCapacity(now time.Time, slots int) Effects {
	a.slots = max(slots, 0)
	return Effects{Admitted: a.dispatch(now)}
}

// SetPolicy replaces the admission policy. Requests that already wait keep the
// wait limit that they were queued with.
func (a *Admitter) SetPolicy(now time.Time, policy checker.AdmissionPolicy) Effects {
	a.policy = policy
	a.demand.window = policy.DemandWindow.Std()
	return Effects{Admitted: a.dispatch(now)}
}

// NextDeadline returns the time of the next call to Expire, or the zero time
// while no request waits. It is the earliest wait limit, or the end of the
// current demand bucket if batch requests wait and that end is sooner.
func (a *Admitter) NextDeadline(now time.Time) time.Time {
	w, ok := a.expiry.peek()
	if !ok {
		return time.Time{}
	}
	due := w.expiresAt
	if a.batch.waiting == 0 || a.demand.bucketLength() <= 0 {
		return due
	}
	a.demand.advance(now)
	if a.demand.bucketEndsAt.Before(due) {
		return a.demand.bucketEndsAt
	}
	return due
}

// Status returns the number of slots and of running and waiting requests.
func (a *Admitter) Status(now time.Time) Status {
	return Status{
		Slots:              a.slots,
		InteractiveRunning: a.interactive.running,
		InteractiveWaiting: a.interactive.waiting,
		BatchRunning:       a.batch.running,
		BatchWaiting:       a.batch.waiting,
		BatchSlots:         a.batchSlots(now),
	}
}

func (a *Admitter) isTracked(id string) bool {
	if _, ok := a.waiting[id]; ok {
		return true
	}
	_, ok := a.running[id]
	return ok
}

func (a *Admitter) classOf(p checker.Priority) *class {
	if p == checker.Batch {
		return a.batch
	}
	return a.interactive
}
