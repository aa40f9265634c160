// Package upgrader brings engines to the wanted version of their weights while
// its VM holds the lease for it: it observes, plans, orders and logs.
package upgrader

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/placement/planner"
)

// ErrFenced reports an engine that has seen a higher fencing number.
var ErrFenced = errors.New("engine has seen a higher fencing number")

// Report is what an engine says of itself. It may be some hundred milliseconds
// old.
type Report struct {
	// Weights maps each model to the version of its weights.
	Weights map[string]uint64
	// Busy is true while an order is being carried out.
	Busy bool
	// Orders is the number of orders it has accepted since its start.
	Orders    uint64
	StartedAt time.Time
}

// Order asks an engine for another version of a model's weights.
type Order struct {
	Model   string
	Version uint64
	Holder  string
	Fencing uint64
	// Orders is the number of orders that the engine must have accepted, so
	// that an order that comes late changes nothing.
	Orders uint64
}

// Engines calls engines.
type Engines interface {
	Report(ctx context.Context, address netip.AddrPort) (Report, error)
	// Order sends an order once. The outcome is unknown unless the engine
	// itself answered.
	Order(ctx context.Context, u *registrar.Upstream, o Order) (planner.Outcome, error)
}
