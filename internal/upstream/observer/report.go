// Package observer defines what an engine reports of itself and reads it.
package observer

import (
	"fmt"
	"time"
)

// LoadedModel is a model that an engine has ready to serve.
type LoadedModel struct {
	Name           string `json:"name" cbor:"1,keyasint"`
	WeightsVersion string `json:"weights_version" cbor:"2,keyasint"`
}

// Report is an engine's account of itself at one moment.
type Report struct {
	Upstream     string        `json:"upstream" cbor:"1,keyasint"`
	Incarnation  uint64        `json:"incarnation" cbor:"2,keyasint"`
	At           time.Time     `json:"at" cbor:"3,keyasint"`
	Queued       int           `json:"queued" cbor:"4,keyasint"`
	Running      int           `json:"running" cbor:"5,keyasint"`
	QueuedBlocks int           `json:"queued_blocks" cbor:"6,keyasint"`
	Leaving      bool          `json:"leaving,omitempty" cbor:"7,keyasint,omitempty"`
	Models       []LoadedModel `json:"models" cbor:"8,keyasint"`
	// Loading lists the weights that it loads now.
	Loading []LoadedModel `json:"loading,omitempty" cbor:"9,keyasint,omitempty"`
}

// Check reports the first fault of the report.
func (r Report) Check() error {
	if r.Incarnation == 0 {
		return fmt.Errorf("report: incarnation: got 0, takes 1 or more")
	}
	if r.Queued < 0 || r.Running < 0 || r.QueuedBlocks < 0 {
		return fmt.Errorf("report: load: takes counts of 0 or more")
	}
	return nil
}

// Serves reports whether the engine has that version of the model ready.
func (r Report) Serves(model, weightsVersion string) bool {
	for _, m := range r.Models {
		if m.Name == model && m.WeightsVersion == weightsVersion {
			return true
		}
	}
	return false
}
