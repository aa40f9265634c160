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
const Path = "/v3/coordination"

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

// plus returns the sum of two loads.
func (l Load) plus(other Load) Load {
	return Load{l.InFlight + other.InFlight, l.PromptTokens + other.PromptTokens, l.CopyingMillis + other.CopyingMillis}
}

// minus returns l without a part of it. The result is not negative, although the
// part may be newer than l.
func (l Load) minus(part Load) Load {
	return Load{max(l.InFlight-part.InFlight, 0), max(l.PromptTokens-part.PromptTokens, 0), max(l.CopyingMillis-part.CopyingMillis, 0)}
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

// key returns the part without its token count and state.
func (c CachedPart) key() CachedPart {
	return CachedPart{Upstream: c.Upstream, Scope: c.Scope, ID: c.ID}
}

// Report is the message from a VM to the hub.
type Report struct {
	Node  string          `cbor:"1,keyasint"`
	Loads map[string]Load `cbor:"2,keyasint,omitempty"`
	// SentParts lists the parts that were sent to upstreams since the last report.
	SentParts []CachedPart `cbor:"3,keyasint,omitempty"`
	// Number counts the reports of one connection, from 1 on.
	Number uint64 `cbor:"4,keyasint"`
	// Departures lists all departures that the VM was told of, if they have changed
	// since the last report.
	Departures []Departure `cbor:"5,keyasint,omitempty"`
	// Evidence lists the crashes that the VM has seen since the last report and what
	// else bears on quarantines.
	Evidence []Evidence `cbor:"6,keyasint,omitempty"`
	// Limits lists what responses have said about limits since the last report, and the
	// requests that the VM would send to upstreams with a limit. The first report of a
	// connection lists all limits.
	Limits []Limit `cbor:"7,keyasint,omitempty"`
	// Alone is true if the VM uses its own share of the limits, since the hub's answers
	// are missing or late.
	Alone bool `cbor:"8,keyasint,omitempty"`
	// Quotas lists the use of quotas since the last report, and the demand of requests that
	// wait for one.
	Quotas []QuotaUse `cbor:"9,keyasint,omitempty"`
	// Speeds lists the engines with samples of their speed since the last report.
	Speeds []SpeedSample `cbor:"10,keyasint,omitempty"`
}

// Check returns an error if the node or the number is missing or a load is negative.
func (r Report) Check() error {
	if r.Node == "" {
		return errors.New("report: node is missing")
	}
	if r.Number == 0 {
		return errors.New("report: number is missing")
	}
	for upstream, load := range r.Loads {
		if load.InFlight < 0 || load.PromptTokens < 0 || load.CopyingMillis < 0 {
			return fmt.Errorf("report: load of upstream %q is negative", upstream)
		}
	}
	if err := checkDepartures(r.Departures); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := checkEvidence(r.Evidence); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := checkLimits(r.Limits); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := checkQuotaUses(r.Quotas); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := checkSpeedSamples(r.Speeds); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// UpstreamLoad is the load that all VMs together put on an upstream, which is given
// by its index in the table of names.
type UpstreamLoad struct {
	_             struct{} `cbor:",toarray"`
	Upstream      int
	InFlight      int
	PromptTokens  int
	CopyingMillis int
}

// UpstreamPart is a CachedPart whose upstream and scope are given by their indices
// in the table of names.
type UpstreamPart struct {
	_        struct{} `cbor:",toarray"`
	Upstream int
	Scope    int
	ID       string
	Tokens   int
	Pending  bool
}

// State is the message from the hub to a VM. It holds the changes since the last
// message, or everything if Full is set. All VMs receive the same messages.
type State struct {
	// Full is true in the first message of a connection, after a reset, and if the
	// VM has fallen behind; the receiver then discards its earlier state.
	Full bool `cbor:"1,keyasint,omitempty"`
	// Names are appended to the table of names.
	Names   []string       `cbor:"2,keyasint,omitempty"`
	Loads   []UpstreamLoad `cbor:"3,keyasint,omitempty"`
	Engines []Engine       `cbor:"4,keyasint,omitempty"`
	Cached  []UpstreamPart `cbor:"5,keyasint,omitempty"`
	// ReportMillis is the interval in milliseconds at which the hub asks VMs to
	// report. It grows with their number.
	ReportMillis int64        `cbor:"6,keyasint,omitempty"`
	Departures   []Departure  `cbor:"7,keyasint,omitempty"`
	Quarantines  []Quarantine `cbor:"8,keyasint,omitempty"`
	// Limits lists the limits that have changed, or all if Full is set.
	Limits []Limit `cbor:"9,keyasint,omitempty"`
	// Speeds lists the engines whose speed has changed by more than a tenth, or all that do
	// not have the mean speed if Full is set.
	Speeds []UpstreamSpeed `cbor:"10,keyasint,omitempty"`
	// Quotas lists the quotas whose state has changed, or all if Full is set.
	Quotas []QuotaState `cbor:"11,keyasint,omitempty"`
}

// Check returns an error if an index lies outside the table of names, which has
// known names before those of this message are added.
func (s State) Check(known int) error {
	if s.Full {
		known = 0
	}
	names := known + len(s.Names)
	for _, l := range s.Loads {
		if l.Upstream < 0 || l.Upstream >= names {
			return fmt.Errorf("state: upstream %d of %d", l.Upstream, names)
		}
	}
	for _, p := range s.Cached {
		if p.Upstream < 0 || p.Upstream >= names || p.Scope < 0 || p.Scope >= names {
			return fmt.Errorf("state: upstream %d, scope %d of %d", p.Upstream, p.Scope, names)
		}
	}
	if err := checkDepartures(s.Departures); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	if err := checkQuarantines(s.Quarantines); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	if err := checkLimits(s.Limits); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	if err := checkQuotaStates(s.Quotas); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	if err := checkSpeeds(s.Speeds, names); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	return nil
}
