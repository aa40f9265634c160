// Package relayer passes the replicas of the platform's store from a few VMs, which
// follow the store, to the others of their region, so that the calls to the store do
// not grow with the number of VMs. A VM that does not hear in time that its replicas
// are up to date follows the store itself.
package relayer

import (
	"errors"

	"gentianstep.example/gentianstep/internal/membership/informer"
)

// Path is the HTTP path at which a VM accepts subscriptions of other VMs.
const Path = "/v1/relay"

// maxMessageBytes bounds one message; its largest part is a configuration, which may
// have hundreds of routes.
const maxMessageBytes = 8 << 20

// Subscription is the first message of a connection.
type Subscription struct {
	Node string `cbor:"1,keyasint"`
	// Revisions holds the revision of the sender's replica of each prefix.
	Revisions map[string]uint64 `cbor:"2,keyasint"`
	// Eras holds the eras of Revisions that are above 0.
	Eras map[string]uint64 `cbor:"3,keyasint,omitempty"`
}

// Check returns an error if the node is missing.
func (s Subscription) Check() error {
	if s.Node == "" {
		return errors.New("subscription: node is missing")
	}
	return nil
}

// News is the message to a subscriber, after each change and at an interval without
// one. It holds an update of each prefix.
type News struct {
	Updates []informer.Update `cbor:"1,keyasint"`
	// WeightsAges holds the ages of desired versions if an update may change them.
	WeightsAges []informer.WeightsAge `cbor:"2,keyasint,omitempty"`
}

// Check returns the error of the first invalid update or age.
func (n News) Check() error {
	for _, u := range n.Updates {
		if err := u.Check(); err != nil {
			return err
		}
	}
	for _, a := range n.WeightsAges {
		if err := a.Check(); err != nil {
			return err
		}
	}
	return nil
}
