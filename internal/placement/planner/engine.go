// Package planner decides which engine of a region loads which weights.
//
// It performs no I/O and reads no clock. Callers pass in the time, the observed
// state of the engines and the outcomes of earlier orders.
package planner

import (
	"slices"
	"time"
)

// ModelVersion is one version of a model's weights.
type ModelVersion struct {
	Model          string `json:"model"`
	WeightsVersion string `json:"weights_version"`
}

// Engine is the last observed state of an engine.
type Engine struct {
	Upstream    string
	Incarnation uint64
	// Allowed lists the models that the engine may serve.
	Allowed []string
	Ready   []ModelVersion
	Loading []ModelVersion
	Leaving bool
	// Unschedulable is true while the engine keeps serving but must not receive
	// orders.
	Unschedulable bool
	// Load is the number of running and queued requests.
	Load int
	// SeenAt is when the observation was received.
	SeenAt time.Time
}

func (e Engine) allows(model string) bool { return slices.Contains(e.Allowed, model) }

// serves reports whether the engine has model ready in one of versions.
func (e Engine) serves(model string, versions []string) bool {
	return slices.ContainsFunc(e.Ready, func(l ModelVersion) bool {
		return l.Model == model && slices.Contains(versions, l.WeightsVersion)
	})
}

// hasOrLoads reports whether any version of model is loaded or being loaded.
func (e Engine) hasOrLoads(model string) bool {
	match := func(l ModelVersion) bool { return l.Model == model }
	return slices.ContainsFunc(e.Ready, match) || slices.ContainsFunc(e.Loading, match)
}

func (e Engine) empty() bool { return len(e.Ready) == 0 && len(e.Loading) == 0 }
