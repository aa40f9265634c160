// Package messenger exchanges typed messages between the processes of a deployment,
// encoded in CBOR over WebSocket.
package messenger

import (
	"errors"
	"fmt"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/membership/tracker"
	"gentianstep.example/gentianstep/internal/membership/watcher"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// ErrUnknownMessage reports a message none of whose parts is known to this version.
// During a rolling upgrade newer processes send such messages; they are skipped.
var ErrUnknownMessage = errors.New("message has no known part")

// Role is the kind of process at an end of a connection.
type Role string

// Values of Role.
const (
	Router     Role = "router"
	Controller Role = "controller"
	// Operator is the command line tool, which requests the status of a controller.
	Operator Role = "operator"
)

const (
	// maxCheckpoints bounds the checkpoints of one lookup.
	maxCheckpoints = 1 << 14
	// maxBatch bounds the reports, updates, holdings, departures, usages or nodes of
	// one message.
	maxBatch = 1 << 14
)

// Hello is the first message on each connection, in both directions.
type Hello struct {
	Deployment string `cbor:"1,keyasint"`
	Node       string `cbor:"2,keyasint"`
	Role       Role   `cbor:"3,keyasint"`
	Region     string `cbor:"5,keyasint,omitempty"`
	// BundleVersion is the version of the bundle in force at the sender, 0 for none.
	BundleVersion uint64 `cbor:"4,keyasint"`
}

// BundleHead is the version of the bundle in force at the sender, and the time since
// which it is in force.
type BundleHead struct {
	Version uint64    `cbor:"1,keyasint"`
	Since   time.Time `cbor:"2,keyasint,omitzero"`
}

// BundleRequest requests the bundle in force at the receiver.
type BundleRequest struct{}

// BundleOffer holds a complete signed bundle.
type BundleOffer struct {
	Envelope signer.Envelope `cbor:"1,keyasint"`
}

// Reports holds the reports of engines on their state.
type Reports struct {
	Reports []observer.Report `cbor:"1,keyasint"`
}

// IndexUpdates holds changes to the receiver's partition of the prefix index.
type IndexUpdates struct {
	Updates []indexer.Update `cbor:"1,keyasint"`
}

// Lookup requests the upstreams that hold the leading blocks of a prompt.
type Lookup struct {
	// ID identifies the lookup on its connection.
	ID uint64 `cbor:"1,keyasint"`
	// Checkpoints are the hashes of the checkpoints of the prompt, one for every
	// hasher.CheckpointBlocks blocks.
	Checkpoints []hasher.Hash `cbor:"2,keyasint"`
}

// LookupReply is one reply to the Lookup with the same ID.
type LookupReply struct {
	ID       uint64            `cbor:"1,keyasint"`
	Holdings []indexer.Holding `cbor:"2,keyasint"`
	// More is true if replies of other regions are still to follow.
	More bool `cbor:"3,keyasint,omitempty"`
}

// Departures announces upstreams that are leaving.
type Departures struct {
	Departures []watcher.Departure `cbor:"1,keyasint"`
}

// StatusRequest requests the status of a controller and of its routers.
type StatusRequest struct{}

// Status is the response to a StatusRequest.
type Status struct {
	Nodes []NodeStatus `cbor:"1,keyasint"`
}

// NodeStatus describes the bundle in force on one process.
type NodeStatus struct {
	Node          string    `cbor:"1,keyasint"`
	Role          Role      `cbor:"2,keyasint"`
	Region        string    `cbor:"3,keyasint"`
	BundleVersion uint64    `cbor:"4,keyasint"`
	Since         time.Time `cbor:"5,keyasint,omitzero"`
}

// Message is one message; exactly one of its fields is set.
type Message struct {
	Hello         *Hello         `cbor:"1,keyasint,omitempty"`
	BundleHead    *BundleHead    `cbor:"2,keyasint,omitempty"`
	BundleRequest *BundleRequest `cbor:"3,keyasint,omitempty"`
	BundleOffer   *BundleOffer   `cbor:"4,keyasint,omitempty"`
	Reports       *Reports       `cbor:"5,keyasint,omitempty"`
	IndexUpdates  *IndexUpdates  `cbor:"6,keyasint,omitempty"`
	Lookup        *Lookup        `cbor:"7,keyasint,omitempty"`
	LookupReply   *LookupReply   `cbor:"8,keyasint,omitempty"`
	// Membership is a message of the gossip protocol between controllers.
	Membership    *tracker.Message `cbor:"9,keyasint,omitempty"`
	UsageReport   *UsageReport     `cbor:"11,keyasint,omitempty"`
	UsageTotals   *UsageTotals     `cbor:"12,keyasint,omitempty"`
	Departures    *Departures      `cbor:"10,keyasint,omitempty"`
	StatusRequest *StatusRequest   `cbor:"20,keyasint,omitempty"`
	Status        *Status          `cbor:"21,keyasint,omitempty"`
}

// Check returns an error unless the message has exactly one part, which is valid. It
// returns ErrUnknownMessage if there is none.
func (m Message) Check() error {
	set := 0
	for _, present := range []bool{
		m.Hello != nil,
		m.BundleHead != nil,
		m.BundleRequest != nil,
		m.BundleOffer != nil,
		m.Reports != nil,
		m.IndexUpdates != nil,
		m.Lookup != nil,
		m.LookupReply != nil,
		m.Membership != nil,
		m.Departures != nil,
		m.UsageReport != nil,
		m.UsageTotals != nil,
		m.StatusRequest != nil,
		m.Status != nil,
	} {
		if present {
			set++
		}
	}
	switch set {
	case 0:
		return ErrUnknownMessage
	case 1:
		return m.checkPart()
	}
	return fmt.Errorf("message has %d parts, want exactly one", set)
}

// checkPart validates the part that is set. Single index updates are validated when
// they are decoded.
func (m Message) checkPart() error {
	switch {
	case m.Hello != nil:
		return m.Hello.Check()
	case m.Reports != nil:
		return m.Reports.Check()
	case m.Lookup != nil:
		return m.Lookup.Check()
	case m.IndexUpdates != nil:
		return checkBatch("index updates", len(m.IndexUpdates.Updates))
	case m.LookupReply != nil:
		return checkBatch("holdings", len(m.LookupReply.Holdings))
	case m.Membership != nil:
		return m.Membership.Check()
	case m.Departures != nil:
		return m.Departures.Check()
	case m.UsageReport != nil:
		return m.UsageReport.Check()
	case m.UsageTotals != nil:
		return m.UsageTotals.Check()
	case m.Status != nil:
		return checkBatch("nodes", len(m.Status.Nodes))
	}
	return nil
}

// Check returns an error if the deployment or node is missing or the role is unknown.
func (h Hello) Check() error {
	if h.Deployment == "" || h.Node == "" {
		return fmt.Errorf("hello: deployment or node is missing")
	}
	if h.Role != Router && h.Role != Controller && h.Role != Operator {
		return fmt.Errorf("hello: unknown role %q, want %q, %q or %q", h.Role, Router, Controller, Operator)
	}
	return nil
}

// Check returns an error if there are too many reports or one is invalid.
func (r Reports) Check() error {
	if err := checkBatch("reports", len(r.Reports)); err != nil {
		return err
	}
	for _, report := range r.Reports {
		if err := report.Check(); err != nil {
			return err
		}
	}
	return nil
}

// Check returns an error if there are too many departures or one is invalid.
func (d Departures) Check() error {
	if err := checkBatch("departures", len(d.Departures)); err != nil {
		return err
	}
	for _, departure := range d.Departures {
		if err := departure.Check(); err != nil {
			return err
		}
	}
	return nil
}

// Check returns an error if the number of checkpoints is out of range.
func (l Lookup) Check() error {
	if n := len(l.Checkpoints); n < 1 || n > maxCheckpoints {
		return fmt.Errorf("lookup: got %d checkpoints, want 1 to %d", n, maxCheckpoints)
	}
	return nil
}

// checkBatch returns an error if a list has more than maxBatch elements.
func checkBatch(list string, n int) error {
	if n > maxBatch {
		return fmt.Errorf("%s: got %d elements, want at most %d", list, n, maxBatch)
	}
	return nil
}
