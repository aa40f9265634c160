package planner

import "fmt"

// Action is the operation that an order requests.
type Action string

// Actions of orders.
const (
	LoadModel   Action = "load_model"
	UnloadModel Action = "unload_model"
)

// Reason is why the planner issued an order.
type Reason string

// Reasons of orders.
const (
	BelowMinReplicas  Reason = "below_min_replicas"
	NewWeightsVersion Reason = "new_weights_version"
	EmptyEngine       Reason = "empty_engine"
	HotModel          Reason = "hot_model"
	NotInBundle       Reason = "not_in_bundle"
)

// Order requests that one engine load or unload weights. It applies only to the
// observed incarnation of the engine.
type Order struct {
	// Number identifies the order within its planner, starting at 1.
	Number      uint64
	Upstream    string
	Incarnation uint64
	Action      Action
	ModelVersion
	// Replace lists the weights that the engine unloads when it starts loading.
	Replace []ModelVersion
	Reason  Reason
}

// String returns a short form for logs.
func (o Order) String() string {
	return fmt.Sprintf("%s %s@%s on %s", o.Action, o.Model, o.WeightsVersion, o.Upstream)
}

// Outcome is the result of sending an order.
type Outcome int

// Outcomes of orders.
const (
	// Unknown means that the order may or may not have taken effect.
	Unknown Outcome = iota
	// Accepted means that the engine has started or completed the order.
	Accepted
	// Refused means that the order has had no effect and will have none.
	Refused
)

// String returns the name of the outcome in logs.
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
