// Package messenger carries typed messages between the system's own processes
// over WebSocket with CBOR.
package messenger

import (
	"fmt"

	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// Role is the kind of process at one end of a connection.
type Role string

// Roles of processes.
const (
	Router     Role = "router"
	Controller Role = "controller"
)

// Hello is the first message on every connection, from both ends.
type Hello struct {
	Deployment string `cbor:"1,keyasint"`
	Node       string `cbor:"2,keyasint"`
	Role       Role   `cbor:"3,keyasint"`
	// BundleVersion is the version in force at the sender, 0 for none.
	BundleVersion uint64 `cbor:"4,keyasint"`
}

// BundleHead tells the version in force at the sender.
type BundleHead struct {
	Version uint64 `cbor:"1,keyasint"`
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

// Message is one message; exactly one of its fields is set.
type Message struct {
	Hello       *Hello       `cbor:"1,keyasint,omitempty"`
	BundleHead  *BundleHead  `cbor:"2,keyasint,omitempty"`
	BundleWant  *BundleWant  `cbor:"3,keyasint,omitempty"`
	BundleOffer *BundleOffer `cbor:"4,keyasint,omitempty"`
	Reports     *Reports     `cbor:"5,keyasint,omitempty"`
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
	} {
		if present {
			set++
		}
	}
	if set != 1 {
		return fmt.Errorf("message: got %d parts, takes exactly one", set)
	}
	if m.Hello != nil && (m.Hello.Deployment == "" || m.Hello.Node == "") {
		return fmt.Errorf("hello: takes a deployment and a node")
	}
	if m.Reports != nil {
		for _, report := range m.Reports.Reports {
			if err := report.Check(); err != nil {
				return err
			}
		}
	}
	return nil
}
