// Package observer defines the status report of an engine and fetches it.
package observer

import (
	"fmt"
	"time"
)

// LoadedModel is a model, in one version of its weights, that an engine has
// loaded or is loading.
type LoadedModel struct {
	Name           string `json:"name" cbor:"1,keyasint"`
	WeightsVersion string `json:"weights_version" cbor:"2,keyasint"`
}

// Report is the status of an engine at one point in time.
type Report struct {
	Upstream     string        `json:"upstream" cbor:"1,keyasint"`
	Incarnation  uint64        `json:"incarnation" cbor:"2,keyasint"`
	At           time.Time     `json:"at" cbor:"3,keyasint"`
	Queued       int           `json:"queued" cbor:"4,keyasint"`
	Running      int           `json:"running" cbor:"5,keyasint"`
	QueuedBlocks int           `json:"queued_blocks" cbor:"6,keyasint"`
	Leaving      bool          `json:"leaving,omitempty" cbor:"7,keyasint,omitempty"`
	Models       []LoadedModel `json:"models" cbor:"8,keyasint"`
	// Loading lists the models whose weights are being loaded.
	Loading []LoadedModel `json:"loading,omitempty" cbor:"9,keyasint,omitempty"`
}

// Check validates the report and returns the first error found.
func (r Report) Check() error {
	if r.Incarnation == 0 {
		return fmt.Errorf("report: incarnation: got 0, want 1 or more")
	}
	if r.Queued < 0 || r.Running < 0 || r.QueuedBlocks < 0 {
		return fmt.Errorf("report: queued, running and queued_blocks: want 0 or more")
	}
	return nil
}

// Serves reports whether the engine has loaded that version of the model.
func (r Report) Serves(model, weightsVersion string) bool {
	for _, m := range r.Models {
		if m.Name == model && m.WeightsVersion == weightsVersion {
			return true
		}
	}
	return false
}
