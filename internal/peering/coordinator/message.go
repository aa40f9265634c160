// Package coordinator shares the state of upstreams between the VMs of a deployment.
// The VM that holds the lease for roll-outs is the hub. The other VMs report their
// load to it; the hub pushes the load of all VMs, which engines are changing their
// weights and which parts of prompts the engines have cached. This state only guides
// the choice of upstreams: a hub that is down or wrong endangers no correctness.
package coordinator

import (
	"errors"
	"fmt"
	"time"

	"gentianstep.example/gentianstep/internal/caching/cataloguer"
)

// Path is the HTTP path at which the hub accepts connections.
const Path = "/v1/coordination"

// maxMessageBytes bounds one message; the largest holds the whole catalogue.
const maxMessageBytes = 8 << 20

// Load is the load that one or more VMs put on an upstream.
type Load struct {
	// InFlight is the number of requests whose response is not complete.
	InFlight int `cbor:"1,keyasint,omitempty"`
	// PromptTokens is the number of tokens yet to be prefilled, over the requests
	// without a first event.
	PromptTokens int `cbor:"2,keyasint,omitempty"`
	// CopyingMillis is the time in milliseconds for which cache copies occupy the
	// link of the upstream.
	CopyingMillis int `cbor:"3,keyasint,omitempty"`
}

// Engine is the state of one run of an engine, from StartedAt on.
type Engine struct {
	Upstream  string    `cbor:"1,keyasint"`
	StartedAt time.Time `cbor:"2,keyasint"`
	// ChangingWeights is true while the engine changes its weights; until then it
	// is sent no requests.
	ChangingWeights bool              `cbor:"3,keyasint,omitempty"`
	Weights         map[string]uint64 `cbor:"4,keyasint,omitempty"`
}

// CachedPart is the number of tokens of a prompt part that an upstream has cached.
type CachedPart struct {
	// Pending is true if the part was sent to the upstream, which has yet to prefill
	// it; it cannot be copied from there until then.
	Pending  bool   `cbor:"5,keyasint,omitempty"`
	Upstream string `cbor:"1,keyasint"`
	Scope    string `cbor:"2,keyasint"`
	ID       string `cbor:"3,keyasint"`
	Tokens   int    `cbor:"4,keyasint,omitempty"`
}

// part returns the key of the part in the catalogue.
func (c CachedPart) part() cataloguer.Part { return cataloguer.Part{Scope: c.Scope, ID: c.ID} }

// Report is the message from a VM to the hub.
type Report struct {
	Node  string          `cbor:"1,keyasint"`
	Loads map[string]Load `cbor:"2,keyasint,omitempty"`
	// SentParts lists the parts that were sent to upstreams since the last report.
	SentParts []CachedPart `cbor:"3,keyasint,omitempty"`
}

// Check returns an error if the node is missing or a load is negative.
func (r Report) Check() error {
	if r.Node == "" {
		return errors.New("report: node is missing")
	}
	for upstream, load := range r.Loads {
		if load.InFlight < 0 || load.PromptTokens < 0 || load.CopyingMillis < 0 {
			return fmt.Errorf("report: load of upstream %q is negative", upstream)
		}
	}
	return nil
}

// State is the message from the hub to a VM. Loads is always complete: it holds the
// sums over all other VMs. Engines and Cached hold the changes since the last message,
// or everything if Full is set.
type State struct {
	// Full is true in the first message of a connection and after a reset; the
	// receiver then discards its earlier state.
	Full    bool            `cbor:"1,keyasint,omitempty"`
	Loads   map[string]Load `cbor:"2,keyasint,omitempty"`
	Engines []Engine        `cbor:"3,keyasint,omitempty"`
	Cached  []CachedPart    `cbor:"4,keyasint,omitempty"`
}
