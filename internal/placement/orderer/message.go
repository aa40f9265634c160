package orderer

import (
	"fmt"
	"time"

	"gentianstep.example/gentianstep/internal/placement/planner"
)

// Path is where an engine takes orders.
const Path = "/v1/control/orders"

// Message is an order as it goes to an engine.
type Message struct {
	Region string `json:"region"`
	// FencingNumber rises with each holder of the region's lease.
	FencingNumber uint64 `json:"fencing_number"`
	// Deadline is when the order loses its force.
	Deadline time.Time `json:"deadline"`
	// IfIncarnation is the start of the engine that the order is meant for.
	IfIncarnation uint64         `json:"if_incarnation"`
	Action        planner.Action `json:"action"`
	planner.Loaded
	// Replace lists what the engine drops as it starts to load.
	Replace []planner.Loaded `json:"replace,omitempty"`
}

// Check reports the first fault of the message.
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

// RefusalReason says why an engine refuses an order.
type RefusalReason string

// Reasons of refusals.
const (
	OldFencing       RefusalReason = "old_fencing_number"
	PastDeadline     RefusalReason = "past_deadline"
	OtherIncarnation RefusalReason = "other_incarnation"
	EngineLeaving    RefusalReason = "leaving"
	EngineBusy       RefusalReason = "busy"
)

// Refusal is the answer of an engine that will not carry an order out.
type Refusal struct {
	Reason RefusalReason `json:"reason"`
	// FencingNumber is the highest one that the engine has seen.
	FencingNumber uint64 `json:"fencing_number"`
}
