package orderer

import (
	"fmt"
	"time"

	"gentianstep.example/gentianstep/internal/placement/planner"
)

// Path is the HTTP path at which an engine receives orders.
const Path = "/v1/control/orders"

// Message is an order as it is sent to an engine.
type Message struct {
	Region string `json:"region"`
	// FencingNumber increases with each acquisition of the region's lease.
	FencingNumber uint64 `json:"fencing_number"`
	// Deadline is when the order expires. An engine refuses it after that.
	Deadline time.Time `json:"deadline"`
	// IfIncarnation is the incarnation of the engine that the order applies to.
	// An engine that has restarted since refuses the order.
	IfIncarnation uint64         `json:"if_incarnation"`
	Action        planner.Action `json:"action"`
	planner.ModelVersion
	// Replace lists the weights that the engine unloads when it starts loading.
	Replace []planner.ModelVersion `json:"replace,omitempty"`
}

// Check returns an error for the first field that is missing or invalid.
func (m Message) Check() error {
	switch {
	case m.FencingNumber == 0:
		return fmt.Errorf("order: fencing_number: got 0, takes 1 or more")
	case m.Deadline.IsZero():
		return fmt.Errorf("order: deadline: takes a time")
	case m.Action != planner.LoadModel && m.Action != planner.UnloadModel:
		return fmt.Errorf("order: action: got %q, takes %q or %q", m.Action, planner.LoadModel, planner.UnloadModel)
	case m.Model == "" || m.WeightsVersion == "":
		return fmt.Errorf("order: takes a model and a weights_version")
	}
	return nil
}

// RefusalReason is why an engine refused an order.
type RefusalReason string

// Reasons for which an engine refuses an order.
const (
	OldFencing       RefusalReason = "old_fencing_number"
	PastDeadline     RefusalReason = "past_deadline"
	OtherIncarnation RefusalReason = "other_incarnation"
	EngineLeaving    RefusalReason = "leaving"
	EngineBusy       RefusalReason = "busy"
)

// Refusal is the response body of an engine that refuses an order.
type Refusal struct {
	Reason RefusalReason `json:"reason"`
	// FencingNumber is the highest fencing number that the engine has seen.
	FencingNumber uint64 `json:"fencing_number"`
}
