package upgrader

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/operating/pauser"
	"gentianstep.example/gentianstep/internal/placement/leaser"
	"gentianstep.example/gentianstep/internal/placement/planner"
)

// startOrder records an order as pending and sends it in the background.
func (g *Upgrader) startOrder(ctx context.Context, now time.Time, lease leaser.Lease, engines []*registrar.Upstream, o planner.Order) {
	if o.Action != planner.LoadModel {
		return
	}
	for _, u := range engines {
		if u.ID != o.Upstream {
			continue
		}
		observed := g.observationOf(u)
		observed.pending, observed.expectedOrders = true, observed.report.AcceptedOrders
		observed.lostAfter = now.Add(noticePeriod + orderTimeout)
		g.cfg.OnChange(u, true, g.weights(u))
		version, err := strconv.ParseUint(o.WeightsVersion, 10, 64)
		if err != nil {
			g.cfg.Log.WithError(err).WithField("order", o.String()).Error("failed to parse weights version of order")
			return
		}
		go g.sendOrder(ctx, u, observed, o, Order{
			Model:          o.Model,
			Version:        version,
			Holder:         g.cfg.Node,
			Fencing:        lease.Fencing,
			ExpectedOrders: observed.expectedOrders,
		})
	}
}

// sendOrder sends o after the notice period, if this VM still holds the same
// lease, then logs and records its outcome.
func (g *Upgrader) sendOrder(ctx context.Context, u *registrar.Upstream, observed *observation, planned planner.Order, o Order) {
	if !pauser.Pause(ctx, noticePeriod) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	now := time.Now()
	outcome, err := planner.Refused, error(nil)
	if lease, held := g.cfg.Lease.Holding(now); held && lease.Fencing == o.Fencing {
		outcome, err = g.cfg.Engines.Order(ctx, u, o)
	} else {
		err = errors.New("lease ended before the order was sent")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	entry := g.cfg.Log.WithFields(logrus.Fields{
		"event":    "order",
		"upstream": u.ID,
		"model":    o.Model,
		"version":  o.Version,
		"fencing":  o.Fencing,
		"orders":   o.ExpectedOrders,
		"outcome":  outcome.String(),
		"reason":   planned.Reason,
		"took_ms":  time.Since(now).Milliseconds(),
	})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("outcome of order to load weights")
	if outcome == planner.Refused {
		observed.pending = false
		g.cfg.OnChange(u, false, g.weights(u))
		observed.reportedAt = time.Time{} // the recorded number of accepted orders is out of date
	}
	if g.fencing == o.Fencing {
		g.planner.RecordOutcome(time.Now(), planned, outcome)
	}
}
