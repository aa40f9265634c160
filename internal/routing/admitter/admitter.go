package admitter

import (
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// Config holds what an Admitter is built from.
type Config struct {
	Policy checker.AdmissionPolicy
	// Slots is the number of requests that this router may have running.
	Slots int
}

// Admitter shares slots between organisations. It is used by one goroutine at
// a time.
type Admitter struct {
	policy      checker.AdmissionPolicy
	slots       int
	interactive *class
	batch       *class
	waiting     map[string]*waiter
	running     map[string]*holder
	expiry      ordered[*waiter]
	estimator   estimator
	demand      demand
}

// New returns an Admitter with nothing waiting or running.
func New(cfg Config) *Admitter {
	return &Admitter{
		policy:      cfg.Policy,
		slots:       max(cfg.Slots, 0),
		interactive: newClass(),
		batch:       newClass(),
		waiting:     make(map[string]*waiter),
		running:     make(map[string]*holder),
		demand:      demand{window: cfg.Policy.DemandWindow.Std()},
	}
}

// Arrive decides on a new request.
func (a *Admitter) Arrive(now time.Time, r Request) Decision {
	r = r.normalised()
	if a.known(r.ID) {
		return refused(classifier.New(classifier.Internal, "request %s is already known", r.ID))
	}
	c := a.classOf(r.Priority)
	f := c.flowOf(r.Organisation, r.Weight)
	if c.waiting == 0 && a.fits(now, c) {
		a.start(now, r, c, f)
		return Decision{Outcome: Admitted}
	}
	return a.enqueue(now, r, c, f)
}

// Finish returns the slot of a request and admits who is next.
func (a *Admitter) Finish(now time.Time, id string) Effects {
	h, ok := a.running[id]
	if !ok {
		return Effects{}
	}
	delete(a.running, id)
	held := now.Sub(h.startedAt)
	correction := a.estimator.correction(held, h.request.Cost)
	a.estimator.observe(held, h.request.Cost)
	h.class.finish(h.flow, correction)
	return Effects{Admitted: a.dispatch(now)}
}

// Cancel removes a waiting request whose caller has gone. It reports false
// where the request no longer waits.
func (a *Admitter) Cancel(now time.Time, id string) bool {
	w, ok := a.waiting[id]
	if !ok {
		return false
	}
	a.remove(w)
	a.observeDemand(now)
	return true
}

// Expire gives up the requests that have waited too long and admits those
// that batch headroom has become free for.
func (a *Admitter) Expire(now time.Time) Effects {
	var e Effects
	for {
		w, ok := a.expiry.first()
		if !ok || w.giveUpAt.After(now) {
			break
		}
		a.remove(w)
		e.Refused = append(e.Refused, a.overdue(now, w))
	}
	e.Admitted = a.dispatch(now)
	a.interactive.prune()
	a.batch.prune()
	return e
}

// SetCapacity changes the number of slots. Running requests keep theirs.
func (a *Admitter) SetCapacity(now time.Time, slots int) Effects {
	a.slots = max(slots, 0)
	return Effects{Admitted: a.dispatch(now)}
}

// SetPolicy puts the policy of a new bundle in force for later arrivals.
func (a *Admitter) SetPolicy(now time.Time, policy checker.AdmissionPolicy) Effects {
	a.policy = policy
	a.demand.window = policy.DemandWindow.Std()
	return Effects{Admitted: a.dispatch(now)}
}

// NextDeadline returns when Expire is due next, zero while nothing waits.
func (a *Admitter) NextDeadline(now time.Time) time.Time {
	w, ok := a.expiry.first()
	if !ok {
		return time.Time{}
	}
	due := w.giveUpAt
	if a.batch.waiting == 0 || a.demand.bucket() <= 0 {
		return due
	}
	a.demand.roll(now)
	if a.demand.endsAt.Before(due) {
		return a.demand.endsAt
	}
	return due
}

// Status returns a summary for operators.
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

func (a *Admitter) known(id string) bool {
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
