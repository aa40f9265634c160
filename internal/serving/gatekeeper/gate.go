// Package gatekeeper lets request handlers wait for a slot. It joins an
// admitter to real time; the decisions are the admitter's.
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

// Config holds what a Gate is built from.
type Config struct {
	Policy checker.AdmissionPolicy
	// Slots is the number of requests that may run at first.
	Slots int
	// Log takes a line for each decision.
	Log logrus.FieldLogger
	// Metrics takes the counters; nil is the default registry.
	Metrics metrics.Registry
}

// Gate admits requests to a bounded number of slots.
type Gate struct {
	log   logrus.FieldLogger
	meter meter

	mu       sync.Mutex
	admitter *admitter.Admitter
	tickets  map[string]*ticket
	next     uint64
	timer    *time.Timer
	closed   bool
}

// New returns an open Gate. Close ends its timer.
func New(cfg Config) *Gate {
	g := &Gate{
		log:      cfg.Log,
		meter:    newMeter(cfg.Metrics),
		admitter: admitter.New(admitter.Config{Policy: cfg.Policy, Slots: cfg.Slots}),
		tickets:  make(map[string]*ticket),
	}
	return g
}

// Enter waits for a slot. The request runs until release is called, which may
// be done more than once. The deadline of ctx stands in for a missing deadline
// of r.
func (g *Gate) Enter(ctx context.Context, r admitter.Request) (release func(), err error) {
	if ctx.Err() != nil {
		return nil, classifier.Wrap(classifier.CallerGone, ctx.Err(), "the caller left before admission")
	}
	if deadline, ok := ctx.Deadline(); ok && r.Deadline.IsZero() {
		r.Deadline = deadline
	}
	t, err := g.arrive(r)
	if err != nil {
		return nil, err
	}
	select {
	case err = <-t.verdict:
	case <-ctx.Done():
		err = g.leave(ctx, t)
	}
	if err != nil {
		return nil, err
	}
	return sync.OnceFunc(func() { g.finish(t) }), nil
}

// SetCapacity changes the number of slots.
func (g *Gate) SetCapacity(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.apply(now, g.admitter.SetCapacity(now, slots))
}

// SetPolicy puts the policy of a new bundle in force.
func (g *Gate) SetPolicy(policy checker.AdmissionPolicy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.apply(now, g.admitter.SetPolicy(now, policy))
}

// Status returns a summary for operators.
func (g *Gate) Status() admitter.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitter.Status(time.Now())
}

// Close refuses the requests that wait and all later ones. Running requests
// go on.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	if g.timer != nil {
		g.timer.Stop()
	}
	now := time.Now()
	for id, t := range g.tickets {
		if g.admitter.Cancel(now, id) {
			g.refuse(now, t, classifier.New(classifier.ShuttingDown, "the router is shutting down"))
		}
	}
}

func (g *Gate) arrive(r admitter.Request) (*ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.closed {
		return nil, classifier.New(classifier.ShuttingDown, "the router is shutting down")
	}
	g.next++
	t := &ticket{id: r.ID, organisation: r.Organisation, priority: r.Priority, arrivedAt: now, verdict: make(chan error, 1)}
	r.ID = strconv.FormatUint(g.next, 10)
	t.key = r.ID
	d := g.admitter.Arrive(now, r)
	g.tickets[t.key] = t
	for _, refusal := range d.Displaced {
		g.refuse(now, g.tickets[refusal.ID], refusal.Err)
	}
	switch d.Outcome {
	case admitter.Admitted:
		g.admit(now, t)
	case admitter.Refused:
		g.refuse(now, t, d.Err)
	case admitter.Queued:
		g.schedule(now)
	}
	return t, nil
}

// leave ends the wait of a caller that has gone. A slot that was given in the
// same moment is returned.
func (g *Gate) leave(ctx context.Context, t *ticket) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	select {
	case err := <-t.verdict:
		if err != nil {
			return err
		}
		delete(g.tickets, t.key)
		g.apply(now, g.admitter.Finish(now, t.key))
	default:
		delete(g.tickets, t.key)
		g.admitter.Cancel(now, t.key)
		g.schedule(now)
	}
	kind := classifier.CallerGone
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = classifier.DeadlineUnmeetable
	}
	g.record(now, t, string(kind))
	return classifier.Wrap(kind, ctx.Err(), "the caller left while waiting")
}

func (g *Gate) finish(t *ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.tickets, t.key)
	now := time.Now()
	g.apply(now, g.admitter.Finish(now, t.key))
}
