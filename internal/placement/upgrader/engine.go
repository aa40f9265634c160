// Package upgrader rolls out new weights versions to engines while its VM holds
// the lease for roll-outs: it requests the engines' reports, plans, sends
// orders and logs them.
package upgrader

import (
	"context"
	"errors"
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/placement/planner"
)

// ErrFenced is returned for an order that the engine refused because it has
// seen a higher fencing number.
var ErrFenced = errors.New("engine has seen a higher fencing number")

// Report is the state of an engine as reported by itself. Its content may be
// some hundred milliseconds old.
type Report struct {
	// Weights maps each model to the version of its weights.
	Weights map[string]uint64
	// Busy is true while an order is being carried out.
	Busy bool
	// AcceptedOrders is the number of orders that the engine has accepted since
	// its start.
	AcceptedOrders uint64
	StartedAt      time.Time
}

// Order requests that an engine load another version of a model's weights.
type Order struct {
	Model   string
	Version uint64
	Holder  string
	Fencing uint64
	// ExpectedOrders is the number of orders that the engine must have accepted
	// before this one. The engine refuses the order otherwise, so that a delayed
	// order has no effect.
	ExpectedOrders uint64
}

// EngineClient is a client of the engines' control interface.
type EngineClient interface {
	// Report requests the report of an engine.
	Report(ctx context.Context, u *registrar.Upstream) (Report, error)
	// Order sends an order once, without a retry. The outcome is unknown if no
	// response came from the engine itself.
	Order(ctx context.Context, u *registrar.Upstream, o Order) (planner.Outcome, error)
}
