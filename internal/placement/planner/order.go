package planner

import "fmt"

// Action is what an order asks of an engine.
type Action string

// Actions of orders.
const (
	LoadModel   Action = "load_model"
	UnloadModel Action = "unload_model"
)

// Reason says why an order was decided.
type Reason string

// Reasons of orders.
const (
	BelowMinReplicas  Reason = "below_min_replicas"
	NewWeightsVersion Reason = "new_weights_version"
	EmptyEngine       Reason = "empty_engine"
	HotModel          Reason = "hot_model"
	NotInBundle       Reason = "not_in_bundle"
)

// Order is a wanted change of one engine. It holds only for the incarnation
// that was observed.
type Order struct {
	// Number tells the orders of one planner apart, from 1.
	Number      uint64
	Upstream    string
	Incarnation uint64
	Action      Action
	Loaded
	// Replace lists what a load takes the place of.
	Replace []Loaded
	Reason  Reason
}

// String returns a short form for logs.
func (o Order) String() string {
	return fmt.Sprintf("%s %s@%s on %s", o.Action, o.Model, o.WeightsVersion, o.Upstream)
}

// Outcome is what became of an order.
type Outcome int

// Outcomes of orders.
const (
	// Unknown may have taken effect.
	Unknown Outcome = iota
	// Accepted has begun or is done.
	Accepted
	// Refused has had no effect and will have none.
	Refused
)

// String names the outcome as logs do.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case Refused:
		return "refused"
	default:
		return "unknown"
	}
}
