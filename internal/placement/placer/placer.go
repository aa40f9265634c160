package placer

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/placement/leaser"
	"gentianstep.example/gentianstep/internal/placement/orderer"
	"gentianstep.example/gentianstep/internal/placement/planner"
)

// Placer places the models of one region.
type Placer struct {
	cfg Config
	// planner is of the fencing number it was made for.
	planner *planner.Planner
	fencing uint64

	mu      sync.Mutex
	reports map[string]seen
}

// New returns a Placer that has observed nothing.
func New(cfg Config) *Placer {
	return &Placer{cfg: cfg, reports: make(map[string]seen)}
}

// Run places models until ctx ends.
func (p *Placer) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		p.step(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// step makes a plan and sends its orders while the lease is held.
func (p *Placer) step(ctx context.Context) {
	now := time.Now()
	holding, held := p.cfg.Lease.Holding(now)
	current := p.cfg.Bundles.Current()
	if !held || current == nil {
		return
	}
	if p.fencing != holding.Fencing {
		p.planner, p.fencing = planner.New(), holding.Fencing
	}
	b := current.Bundle
	orders := p.planner.Plan(now, planner.Input{
		Models:   b.Models,
		Policy:   b.Policy.Placement,
		Engines:  p.listening(now, b, holding),
		Deadline: deadline(now, b, holding),
	})
	for _, o := range orders {
		p.give(ctx, b, o)
	}
}

// listening returns the engines that may be given orders now: those that
// ignore fencing numbers only once the orders of earlier holders have run out.
func (p *Placer) listening(now time.Time, b *checker.Bundle, h leaser.Holding) []planner.Engine {
	engines := p.engines(b)
	if !now.Before(h.UncheckedAfter) {
		return engines
	}
	for i := range engines {
		if u, _ := b.Upstream(engines[i].Upstream); !u.ChecksFencing {
			engines[i].Frozen = true
		}
	}
	return engines
}

// deadline is when an order of now loses its force: never after the lease.
func deadline(now time.Time, b *checker.Bundle, h leaser.Holding) time.Time {
	at := now.Add(b.Policy.Placement.OrderTimeout.Std())
	if at.After(h.Deadline) {
		return h.Deadline
	}
	return at
}

// give sends o if the lease is still the same and the bundle is still in force.
func (p *Placer) give(ctx context.Context, b *checker.Bundle, o planner.Order) {
	now := time.Now()
	holding, held := p.cfg.Lease.Holding(now)
	if !held || holding.Fencing != p.fencing {
		p.refuse(now, o, classifier.New(classifier.LeaseLost, "lease ended before the order was sent"))
		return
	}
	if p.cfg.Bundles.Version() != b.Version {
		p.refuse(now, o, classifier.New(classifier.BundleStale, "a newer bundle came into force"))
		return
	}
	u, _ := b.Upstream(o.Upstream)
	outcome, err := p.cfg.Orders.Send(ctx, u.Address, orderer.Message{
		Region:        p.cfg.Region,
		FencingNumber: holding.Fencing,
		Deadline:      deadline(now, b, holding),
		IfIncarnation: o.Incarnation,
		Action:        o.Action,
		Loaded:        o.Loaded,
		Replace:       o.Replace,
	})
	p.planner.Settled(time.Now(), o, outcome)
	p.log(o, outcome, err)
}

func (p *Placer) refuse(now time.Time, o planner.Order, err error) {
	p.planner.Settled(now, o, planner.Refused)
	p.log(o, planner.Refused, err)
}

func (p *Placer) log(o planner.Order, outcome planner.Outcome, err error) {
	kind := classifier.Kind("")
	if err != nil {
		kind = classifier.KindOf(err)
	}
	p.cfg.Log.WithFields(logrus.Fields{
		"event":           "placement",
		"region":          p.cfg.Region,
		"holder":          p.cfg.Node,
		"fencing":         p.fencing,
		"upstream":        o.Upstream,
		"order":           o.Action,
		"model":           o.Model,
		"weights_version": o.WeightsVersion,
		"reason":          o.Reason,
		"outcome":         outcome.String(),
		"kind":            kind,
	}).Info("placement decision")
}
