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

// give sends an order in the background.
func (g *Upgrader) give(ctx context.Context, now time.Time, holding leaser.Holding, engines []*registrar.Upstream, o planner.Order) {
	if o.Action != planner.LoadModel {
		return
	}
	for _, u := range engines {
		if u.ID != o.Upstream {
			continue
		}
		seen := g.observe(u)
		seen.pending, seen.ordered = true, seen.report.Orders
		seen.lostAfter = now.Add(noticeLead + orderTimeout)
		g.cfg.OnChange(u, true, g.weights(u))
		version, err := strconv.ParseUint(o.WeightsVersion, 10, 64)
		if err != nil {
			g.cfg.Log.WithError(err).WithField("order", o.String()).Error("version is no number")
			return
		}
		go g.runOrder(ctx, u, seen, o, Order{
			Model:   o.Model,
			Version: version,
			Holder:  g.cfg.Node,
			Fencing: holding.Fencing,
			Orders:  seen.ordered,
		})
	}
}

func (g *Upgrader) runOrder(ctx context.Context, u *registrar.Upstream, seen *observation, planned planner.Order, o Order) {
	if !pauser.Pause(ctx, noticeLead) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	now := time.Now()
	outcome, err := planner.Refused, error(nil)
	if holding, held := g.cfg.Lease.Holding(now); held && holding.Fencing == o.Fencing {
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
		"orders":   o.Orders,
		"outcome":  outcome.String(),
		"reason":   planned.Reason,
		"took_ms":  time.Since(now).Milliseconds(),
	})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("order for new weights")
	if outcome == planner.Refused {
		seen.pending = false
		g.cfg.OnChange(u, false, g.weights(u))
		seen.reportedAt = time.Time{} // what was believed of its orders was wrong
	}
	if g.fencing == o.Fencing {
		g.planner.Settled(time.Now(), planned, outcome)
	}
}
