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

// Placer places models on the engines of one region.
type Placer struct {
	cfg Config
	// planner belongs to fencing: each new lease starts with a new planner.
	planner *planner.Planner
	fencing uint64

	mu      sync.Mutex
	reports map[string]receivedReport
}

// New returns a Placer without any reports.
func New(cfg Config) *Placer {
	return &Placer{cfg: cfg, reports: make(map[string]receivedReport)}
}

// Run plans and sends orders at a fixed interval until ctx is done.
func (p *Placer) Run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
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

// step makes one plan and sends its orders if this node holds the lease and a
// bundle is in force.
func (p *Placer) step(ctx context.Context) {
	now := time.Now()
	lease, held := p.cfg.Lease.Holding(now)
	current := p.cfg.Bundles.Current()
	if !held || current == nil {
		return
	}
	if p.fencing != lease.Fencing {
		p.planner, p.fencing = planner.New(), lease.Fencing
	}
	b := current.Bundle
	orders := p.planner.Plan(now, planner.Input{
		Models:   b.Models,
		Policy:   b.Policy.Placement,
		Engines:  p.planEngines(now, b, lease),
		Deadline: orderDeadline(now, b, lease),
	})
	for _, o := range orders {
		p.sendOrder(ctx, b, o)
	}
}

// planEngines returns the engines to plan for. Until all orders of earlier
// holders have expired, engines that do not check fencing numbers are marked as
// unschedulable.
func (p *Placer) planEngines(now time.Time, b *checker.Bundle, lease leaser.Lease) []planner.Engine {
	engines := p.engines(b)
	if !now.Before(lease.PriorOrdersExpireAt) {
		return engines
	}
	for i := range engines {
		if u, _ := b.Upstream(engines[i].Upstream); !u.ChecksFencing {
			engines[i].Unschedulable = true
		}
	}
	return engines
}

// orderDeadline returns when an order sent at now expires: after the order
// timeout, but never later than the lease.
func orderDeadline(now time.Time, b *checker.Bundle, lease leaser.Lease) time.Time {
	expiry := now.Add(b.Policy.Placement.OrderTimeout.Std())
	if expiry.After(lease.Deadline) {
		return lease.Deadline
	}
	return expiry
}

// sendOrder sends o if this node still holds the same lease and b is still in
// force.
func (p *Placer) sendOrder(ctx context.Context, b *checker.Bundle, o planner.Order) {
	now := time.Now()
	lease, held := p.cfg.Lease.Holding(now)
	if !held || lease.Fencing != p.fencing {
		p.dropOrder(now, o, classifier.New(classifier.LeaseLost, "lease ended before the order was sent"))
		return
	}
	if p.cfg.Bundles.Version() != b.Version {
		p.dropOrder(now, o, classifier.New(classifier.BundleStale, "a newer bundle came into force"))
		return
	}
	u, _ := b.Upstream(o.Upstream)
	outcome, err := p.cfg.Orders.Send(ctx, u.Address, orderer.Message{
		Region:        p.cfg.Region,
		FencingNumber: lease.Fencing,
		Deadline:      orderDeadline(now, b, lease),
		IfIncarnation: o.Incarnation,
		Action:        o.Action,
		ModelVersion:  o.ModelVersion,
		Replace:       o.Replace,
	})
	p.planner.RecordOutcome(time.Now(), o, outcome)
	p.logOrder(o, outcome, err)
}

// dropOrder records o as refused without sending it.
func (p *Placer) dropOrder(now time.Time, o planner.Order, err error) {
	p.planner.RecordOutcome(now, o, planner.Refused)
	p.logOrder(o, planner.Refused, err)
}

func (p *Placer) logOrder(o planner.Order, outcome planner.Outcome, err error) {
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
