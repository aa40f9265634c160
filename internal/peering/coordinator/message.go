// Package coordinator joins what the VMs of a deployment know of its upstreams.
// The VM that holds the lease for roll-outs is the hub: the others tell it what
// they have in flight, and it tells them what all have in flight, which engines
// are changing their weights and which hold which part of a prompt. Nothing
// unsafe follows from a hub that is away or wrong.
package coordinator

import (
	"errors"
	"fmt"
	"time"

	"gentianstep.example/gentianstep/internal/caching/cataloguer"
)

// Path is where the hub takes the connections of the other VMs.
const Path = "/v1/coordination"

// maxMessageBytes bounds one message; the full catalogue is the largest.
const maxMessageBytes = 8 << 20

// Load is the work that VMs have at an upstream.
type Load struct {
	// InFlight counts requests without a whole answer.
	InFlight int `cbor:"1,keyasint,omitempty"`
	// PromptTokens sums what is still to be read for requests without a first
	// event.
	PromptTokens int `cbor:"2,keyasint,omitempty"`
	// CopyingMillis is the time for which copies keep its link busy.
	CopyingMillis int `cbor:"3,keyasint,omitempty"`
}

// Engine is the state of an engine as the hub knows it.
type Engine struct {
	Upstream  string    `cbor:"1,keyasint"`
	StartedAt time.Time `cbor:"2,keyasint"`
	// Changing engines are given no requests until they have other weights.
	Changing bool              `cbor:"3,keyasint,omitempty"`
	Weights  map[string]uint64 `cbor:"4,keyasint,omitempty"`
}

// Cached tells how much of a part an upstream holds.
type Cached struct {
	// Coming parts were sent to the upstream and are not known to be read yet;
	// nothing can be copied from there.
	Coming   bool   `cbor:"5,keyasint,omitempty"`
	Upstream string `cbor:"1,keyasint"`
	Scope    string `cbor:"2,keyasint"`
	ID       string `cbor:"3,keyasint"`
	Tokens   int    `cbor:"4,keyasint,omitempty"`
}

// part returns what is cached.
func (c Cached) part() cataloguer.Part { return cataloguer.Part{Scope: c.Scope, ID: c.ID} }

// Report is what a VM tells the hub.
type Report struct {
	Node  string          `cbor:"1,keyasint"`
	Loads map[string]Load `cbor:"2,keyasint,omitempty"`
	// Sent lists the parts that were sent to be read since the last report.
	Sent []Cached `cbor:"3,keyasint,omitempty"`
}

// Check reports the first fault of a report.
func (r Report) Check() error {
	if r.Node == "" {
		return errors.New("report: takes a node")
	}
	for upstream, load := range r.Loads {
		if load.InFlight < 0 || load.PromptTokens < 0 || load.CopyingMillis < 0 {
			return fmt.Errorf("report: load of %s is negative", upstream)
		}
	}
	return nil
}

// State is what the hub tells a VM: the loads of all others in full, and what
// has changed of engines and cached parts. The first one after connecting
// replaces all that was known.
type State struct {
	First   bool            `cbor:"1,keyasint,omitempty"`
	Loads   map[string]Load `cbor:"2,keyasint,omitempty"`
	Engines []Engine        `cbor:"3,keyasint,omitempty"`
	Cached  []Cached        `cbor:"4,keyasint,omitempty"`
}
