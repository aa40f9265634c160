// Package planner decides which engine of a region loads which weights.
//
// It does no I/O and reads no clock: it is told what was observed and what
// became of its orders, and answers with orders.
package planner

import (
	"slices"
	"time"
)

// Loaded is one version of a model's weights.
type Loaded struct {
	Model          string `json:"model"`
	WeightsVersion string `json:"weights_version"`
}

// Engine is what was last observed of an engine.
type Engine struct {
	Upstream    string
	Incarnation uint64
	// Allowed names the models that it may serve.
	Allowed []string
	Ready   []Loaded
	Loading []Loaded
	Leaving bool
	// Frozen engines serve but take no orders for now.
	Frozen bool
	// Load counts its running and waiting requests.
	Load int
	// SeenAt is when the observation arrived.
	SeenAt time.Time
}

func (e Engine) allows(model string) bool { return slices.Contains(e.Allowed, model) }

// serves reports whether it has one of the versions of m ready.
func (e Engine) serves(model string, versions []string) bool {
	return slices.ContainsFunc(e.Ready, func(l Loaded) bool {
		return l.Model == model && slices.Contains(versions, l.WeightsVersion)
	})
}

// holds reports whether any version of model is loaded or being loaded.
func (e Engine) holds(model string) bool {
	match := func(l Loaded) bool { return l.Model == model }
	return slices.ContainsFunc(e.Ready, match) || slices.ContainsFunc(e.Loading, match)
}

func (e Engine) empty() bool { return len(e.Ready) == 0 && len(e.Loading) == 0 }
