package planner

import (
	"cmp"
	"slices"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

const (
	// freshFor is how long an observation is believed.
	freshFor = 5 * time.Second
	// forgetAfter is how long after its deadline an order of an engine that is
	// not heard of any more still counts as a load.
	forgetAfter = time.Minute
	// hotFactor is the ratio of loads per replica above which an engine moves.
	hotFactor = 2.0
)

// pending is an order that observations may not show yet.
type pending struct {
	order     Order
	deadline  time.Time
	settledAt time.Time
	accepted  bool
}

// Planner plans one region. It remembers its orders and recent moves.
type Planner struct {
	pending map[string]pending
	// dwell holds when each engine may be moved again.
	dwell map[string]time.Time
	// nextLoad is when the weight store may serve another load.
	nextLoad time.Time
	// numbered is the number of the latest order.
	numbered uint64
	hot      string
	hotAt    time.Time
}

// New returns a Planner that remembers nothing.
func New() *Planner {
	return &Planner{pending: make(map[string]pending), dwell: make(map[string]time.Time)}
}

// Input is what a plan is made from.
type Input struct {
	Models  []checker.Model
	Policy  checker.PlacementPolicy
	Engines []Engine
	// Deadline is the latest time at which an order of this plan takes effect.
	Deadline time.Time
	// Interrupt lets a roll-out take the last engine that serves a model, where
	// older weights may not be used for long.
	Interrupt bool
}

// Plan returns the orders that are due. Each counts as sent until it is
// settled.
func (p *Planner) Plan(now time.Time, in Input) []Order {
	p.forget(now, in.Engines)
	v := newView(now, in, p)
	steps := []func(*view){
		(*view).unloadUnknown,
		(*view).meetMinimum,
		(*view).rollOut,
		(*view).fillEmpty,
		(*view).relieveHot,
	}
	for _, step := range steps {
		step(v)
	}
	return v.orders
}

// Settled tells what became of an order. News of an order that a later one to
// the same engine has replaced changes nothing.
func (p *Planner) Settled(now time.Time, o Order, outcome Outcome) {
	sent, ok := p.pending[o.Upstream]
	switch {
	case !ok || sent.order.Number != o.Number:
	case outcome == Refused:
		delete(p.pending, o.Upstream)
	case outcome == Accepted:
		sent.accepted = true
		sent.settledAt = now
		p.pending[o.Upstream] = sent
	}
}

// forget drops orders that observations show by now.
func (p *Planner) forget(now time.Time, engines []Engine) {
	for _, e := range engines {
		sent, ok := p.pending[e.Upstream]
		if !ok {
			continue
		}
		shown := sent.accepted && e.SeenAt.After(sent.settledAt)
		if shown || e.SeenAt.After(sent.deadline) || e.Incarnation != sent.order.Incarnation {
			delete(p.pending, e.Upstream)
		}
	}
	for name, sent := range p.pending {
		if now.After(sent.deadline.Add(forgetAfter)) {
			delete(p.pending, name)
		}
	}
	for name, until := range p.dwell {
		if !now.Before(until) {
			delete(p.dwell, name)
		}
	}
}

// sorted returns engines in a fixed order, the least loaded first.
func sorted(engines []Engine) []Engine {
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Load, b.Load), cmp.Compare(a.Upstream, b.Upstream))
	})
	return engines
}
