package planner

import (
	"cmp"
	"slices"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

const (
	// observationTTL is how long an observation of an engine is used.
	observationTTL = 5 * time.Second
	// pendingTTL is how long after its deadline a pending order to an engine that
	// no longer reports still counts as a load in progress.
	pendingTTL = time.Minute
	// hotLoadRatio is the ratio of requests per replica between the most and the
	// least loaded model above which an engine moves from one to the other.
	hotLoadRatio = 2.0
)

// pendingOrder is an order whose effect the observations may not show yet.
type pendingOrder struct {
	order     Order
	deadline  time.Time
	settledAt time.Time
	accepted  bool
}

// Planner plans the orders of one region. It keeps track of pending orders and
// of recently moved engines.
type Planner struct {
	pending map[string]pendingOrder
	// dwellUntil is the time until which each recently moved engine keeps its
	// models.
	dwellUntil map[string]time.Time
	// nextLoadAt is the earliest time of the next load. Loads are spaced out to
	// limit the rate of reads from the weight store.
	nextLoadAt time.Time
	// lastNumber is the number of the latest order.
	lastNumber uint64
	// hotModel is the model that is currently overloaded, if any. An engine may
	// be moved to it from hotMoveAt on.
	hotModel  string
	hotMoveAt time.Time
}

// New returns a Planner without pending orders.
func New() *Planner {
	return &Planner{pending: make(map[string]pendingOrder), dwellUntil: make(map[string]time.Time)}
}

// Input is the configuration and the observed state that a plan is based on.
type Input struct {
	Models  []checker.Model
	Policy  checker.PlacementPolicy
	Engines []Engine
	// Deadline is the latest time at which an order of this plan can take effect.
	Deadline time.Time
	// AllowDowntime permits a roll-out to reload the last engine that serves a
	// model, which interrupts its service. It is for deployments in which old
	// weights must be replaced within a time limit.
	AllowDowntime bool
}

// Plan returns the orders to send now. Each counts as pending until its outcome
// is recorded or an observation shows its effect.
func (p *Planner) Plan(now time.Time, in Input) []Order {
	p.prune(now, in.Engines)
	v := newView(now, in, p)
	steps := []func(*view){
		(*view).unloadDisallowed,
		(*view).meetMinReplicas,
		(*view).rollOut,
		(*view).fillEmptyEngines,
		(*view).rebalance,
	}
	for _, step := range steps {
		step(v)
	}
	return v.orders
}

// RecordOutcome records the outcome of an order. It ignores an order that was
// superseded by a later order to the same engine. An order with an unknown
// outcome stays pending.
func (p *Planner) RecordOutcome(now time.Time, o Order, outcome Outcome) {
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

// prune removes pending orders whose effect is visible in the observations or
// which have expired, and dwell times that have ended.
func (p *Planner) prune(now time.Time, engines []Engine) {
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
		if now.After(sent.deadline.Add(pendingTTL)) {
			delete(p.pending, name)
		}
	}
	for name, until := range p.dwellUntil {
		if !now.Before(until) {
			delete(p.dwellUntil, name)
		}
	}
}

// sortedByLoad returns a copy of engines, the least loaded first. Ties are
// broken by name, so that the order is deterministic.
func sortedByLoad(engines []Engine) []Engine {
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Load, b.Load), cmp.Compare(a.Upstream, b.Upstream))
	})
	return engines
}
