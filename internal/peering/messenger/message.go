// Package messenger carries typed messages between the system's own processes
// over WebSocket with CBOR.
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

// ErrUnknown reports a message without a part that this build knows. Builds
// that are replaced one by one meet such messages of newer ones and skip them.
var ErrUnknown = errors.New("message has no known part")

// Role is the kind of process at one end of a connection.
type Role string

// Roles of processes.
const (
	Router     Role = "router"
	Controller Role = "controller"
	// Operator is a command line that asks for the state of a controller.
	Operator Role = "operator"
)

const (
	// maxCheckpoints bounds the checkpoints of one lookup.
	maxCheckpoints = 1 << 14
	// maxBatch bounds the reports, updates and holdings of one message.
	maxBatch = 1 << 14
)

// Hello is the first message on every connection, from both ends.
type Hello struct {
	Deployment string `cbor:"1,keyasint"`
	Node       string `cbor:"2,keyasint"`
	Role       Role   `cbor:"3,keyasint"`
	Region     string `cbor:"5,keyasint,omitempty"`
	// BundleVersion is the version in force at the sender, 0 for none.
	BundleVersion uint64 `cbor:"4,keyasint"`
}

// BundleHead tells the version in force at the sender and since when.
type BundleHead struct {
	Version uint64    `cbor:"1,keyasint"`
	Since   time.Time `cbor:"2,keyasint,omitzero"`
}

// BundleWant asks for the bundle in force at the other end.
type BundleWant struct{}

// BundleOffer carries a whole signed bundle.
type BundleOffer struct {
	Envelope signer.Envelope `cbor:"1,keyasint"`
}

// Reports carries what engines said of themselves.
type Reports struct {
	Reports []observer.Report `cbor:"1,keyasint"`
}

// IndexUpdates carries changes of the receiver's part of the prefix index.
type IndexUpdates struct {
	Updates []indexer.Update `cbor:"1,keyasint"`
}

// Lookup asks which upstreams hold the leading blocks of a prompt.
type Lookup struct {
	// ID names the lookup on its connection.
	ID          uint64        `cbor:"1,keyasint"`
	Checkpoints []hasher.Hash `cbor:"2,keyasint"`
}

// LookupReply answers the lookup of that id, or a part of it.
type LookupReply struct {
	ID       uint64            `cbor:"1,keyasint"`
	Holdings []indexer.Holding `cbor:"2,keyasint"`
	// More is true where the answers of other regions are still awaited.
	More bool `cbor:"3,keyasint,omitempty"`
}

// Departures tells of upstreams that are leaving.
type Departures struct {
	Departures []watcher.Departure `cbor:"1,keyasint"`
}

// StatusWant asks a controller for its state and that of its routers.
type StatusWant struct{}

// Status answers a StatusWant.
type Status struct {
	Nodes []NodeStatus `cbor:"1,keyasint"`
}

// NodeStatus is the bundle in force on one process.
type NodeStatus struct {
	Node          string    `cbor:"1,keyasint"`
	Role          Role      `cbor:"2,keyasint"`
	Region        string    `cbor:"3,keyasint"`
	BundleVersion uint64    `cbor:"4,keyasint"`
	Since         time.Time `cbor:"5,keyasint,omitzero"`
}

// Message is one message; exactly one of its fields is set.
type Message struct {
	Hello        *Hello        `cbor:"1,keyasint,omitempty"`
	BundleHead   *BundleHead   `cbor:"2,keyasint,omitempty"`
	BundleWant   *BundleWant   `cbor:"3,keyasint,omitempty"`
	BundleOffer  *BundleOffer  `cbor:"4,keyasint,omitempty"`
	Reports      *Reports      `cbor:"5,keyasint,omitempty"`
	IndexUpdates *IndexUpdates `cbor:"6,keyasint,omitempty"`
	Lookup       *Lookup       `cbor:"7,keyasint,omitempty"`
	LookupReply  *LookupReply  `cbor:"8,keyasint,omitempty"`
	// Membership is what controllers tell each other of who is alive.
	Membership *tracker.Message `cbor:"9,keyasint,omitempty"`
	Uses       *Uses            `cbor:"11,keyasint,omitempty"`
	UseSums    *UseSums         `cbor:"12,keyasint,omitempty"`
	Departures *Departures      `cbor:"10,keyasint,omitempty"`
	StatusWant *StatusWant      `cbor:"20,keyasint,omitempty"`
	Status     *Status          `cbor:"21,keyasint,omitempty"`
}

// Check reports the first fault of the message.
func (m Message) Check() error {
	set := 0
	for _, present := range []bool{
		m.Hello != nil,
		m.BundleHead != nil,
		m.BundleWant != nil,
		m.BundleOffer != nil,
		m.Reports != nil,
		m.IndexUpdates != nil,
		m.Lookup != nil,
		m.LookupReply != nil,
		m.Membership != nil,
		m.Departures != nil,
		m.Uses != nil,
		m.UseSums != nil,
		m.StatusWant != nil,
		m.Status != nil,
	} {
		if present {
			set++
		}
	}
	switch set {
	case 0:
		return ErrUnknown
	case 1:
		return m.checkPart()
	}
	return fmt.Errorf("message: got %d parts, takes exactly one", set)
}

// checkPart checks the part that is set. Index updates check themselves when
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
	case m.Uses != nil:
		return m.Uses.Check()
	case m.UseSums != nil:
		return m.UseSums.Check()
	case m.Status != nil:
		return checkBatch("nodes", len(m.Status.Nodes))
	}
	return nil
}

// Check reports the first fault of the hello.
func (h Hello) Check() error {
	if h.Deployment == "" || h.Node == "" {
		return fmt.Errorf("hello: takes a deployment and a node")
	}
	if h.Role != Router && h.Role != Controller && h.Role != Operator {
		return fmt.Errorf("hello: role: got %q, takes %q, %q or %q", h.Role, Router, Controller, Operator)
	}
	return nil
}

// Check reports the first fault of the reports.
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

// Check reports the first fault of the departures.
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

// Check reports the first fault of the lookup.
func (l Lookup) Check() error {
	if n := len(l.Checkpoints); n < 1 || n > maxCheckpoints {
		return fmt.Errorf("lookup: got %d checkpoints, takes 1 to %d", n, maxCheckpoints)
	}
	return nil
}

func checkBatch(what string, n int) error {
	if n > maxBatch {
		return fmt.Errorf("%s: got %d, takes at most %d", what, n, maxBatch)
	}
	return nil
}
