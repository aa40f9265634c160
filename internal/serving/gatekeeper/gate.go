// Package gatekeeper makes request handlers wait for a slot of the router. It adds
// the clock, a timer and locking to an admitter, which makes the decisions.
package gatekeeper

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/routing/admitter"
)

// Config configures a Gate.
type Config struct {
	Policy checker.AdmissionPolicy
	// Slots is the initial number of requests that may run at the same time.
	Slots int
	// Log receives one line for each admission decision.
	Log logrus.FieldLogger
	// Metrics is the registry of the metrics; nil means the default registry.
	Metrics metrics.Registry
}

// Gate admits requests to a bounded number of slots.
type Gate struct {
	log     logrus.FieldLogger
	metrics admissionMetrics

	mu       sync.Mutex
	admitter *admitter.Admitter
	// requests holds the waiting and the running requests by key.
	requests map[string]*trackedRequest
	lastKey  uint64
	timer    *time.Timer
	closed   bool
}

// New returns an open Gate. Close must be called to stop its timer.
func New(cfg Config) *Gate {
	g := &Gate{
		log:      cfg.Log,
		metrics:  newAdmissionMetrics(cfg.Metrics),
		admitter: admitter.New(admitter.Config{Policy: cfg.Policy, Slots: cfg.Slots}),
		requests: make(map[string]*trackedRequest),
	}
	return g
}

// AcquireSlot waits until r gets a slot or is refused. The slot is held until release
// is called; later calls of release have no effect. If r has no deadline, the
// deadline of ctx is used.
func (g *Gate) AcquireSlot(ctx context.Context, r admitter.Request) (release func(), err error) {
	if ctx.Err() != nil {
		return nil, classifier.Wrap(kindOfEnd(ctx), context.Cause(ctx), "the request has ended before admission")
	}
	if deadline, ok := ctx.Deadline(); ok && r.Deadline.IsZero() {
		r.Deadline = deadline
	}
	t, err := g.submit(r)
	if err != nil {
		return nil, err
	}
	select {
	case err = <-t.decision:
	case <-ctx.Done():
		err = g.withdraw(ctx, t)
	}
	if err != nil {
		return nil, err
	}
	return sync.OnceFunc(func() { g.releaseSlot(t) }), nil
}

// SetCapacity changes the number of slots.
func (g *Gate) SetCapacity(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.applyEffects(now, g.admitter.SetCapacity(now, slots))
}

// SetPolicy applies the admission policy of a new bundle.
func (g *Gate) SetPolicy(policy checker.AdmissionPolicy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.applyEffects(now, g.admitter.SetPolicy(now, policy))
}

// Status returns the number of slots and of running and waiting requests.
func (g *Gate) Status() admitter.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitter.Status(time.Now())
}

// Close refuses all waiting and all later requests. Running requests keep their
// slots until they finish.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	if g.timer != nil {
		g.timer.Stop()
	}
	now := time.Now()
	for id, t := range g.requests {
		if g.admitter.Cancel(now, id) {
			g.refuse(now, t, classifier.New(classifier.ShuttingDown, "the router is shutting down"))
		}
	}
}

// submit passes a new request to the admitter and delivers the decisions that
// result from it.
func (g *Gate) submit(r admitter.Request) (*trackedRequest, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.closed {
		return nil, classifier.New(classifier.ShuttingDown, "the router is shutting down")
	}
	g.lastKey++
	t := &trackedRequest{id: r.ID, organisation: r.Organisation, priority: r.Priority, arrivedAt: now, decision: make(chan error, 1)}
	r.ID = strconv.FormatUint(g.lastKey, 10)
	t.key = r.ID
	d := g.admitter.Arrive(now, r)
	g.requests[t.key] = t
	for _, refusal := range d.Displaced {
		g.refuse(now, g.requests[refusal.ID], refusal.Err)
	}
	switch d.Outcome {
	case admitter.Admitted:
		g.admit(now, t)
	case admitter.Refused:
		g.refuse(now, t, d.Err)
	case admitter.Queued:
		g.scheduleExpiry(now)
	}
	return t, nil
}

// withdraw removes a request whose context has ended. If the request was admitted
// concurrently, its slot is released.
func (g *Gate) withdraw(ctx context.Context, t *trackedRequest) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	select {
	case err := <-t.decision:
		if err != nil {
			return err
		}
		delete(g.requests, t.key)
		g.applyEffects(now, g.admitter.Finish(now, t.key))
	default:
		delete(g.requests, t.key)
		g.admitter.Cancel(now, t.key)
		g.scheduleExpiry(now)
	}
	kind := kindOfEnd(ctx)
	g.recordOutcome(now, t, string(kind))
	return classifier.Wrap(kind, context.Cause(ctx), "the request has ended while waiting")
}

// kindOfEnd returns the kind of error of a request whose ctx is done while it waits.
func kindOfEnd(ctx context.Context) classifier.Kind {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return classifier.DeadlineUnmeetable
	case errors.Is(context.Cause(ctx), context.Canceled):
		return classifier.CallerGone
	}
	return classifier.ShuttingDown
}

// releaseSlot releases the slot of a running request.
func (g *Gate) releaseSlot(t *trackedRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.requests, t.key)
	now := time.Now()
	g.applyEffects(now, g.admitter.Finish(now, t.key))
}
