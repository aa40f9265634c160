package tracker

import "net/netip"

const (
	// maxUpdates bounds the gossip of one ping or ack, in members.
	maxUpdates = 8
	// pageMembers bounds the members of one page, in members.
	pageMembers = 64
)

// Kind tells what a message asks for.
type Kind uint8

// Kinds of message.
const (
	// Ping asks for an Ack with the same sequence number.
	Ping Kind = iota + 1
	Ack
	// PingRequest asks the receiver to ping Target and pass its Ack on.
	PingRequest
	// PageRequest asks for the members whose addresses follow Target.
	PageRequest
	// Page answers a PageRequest; a Target says that more members follow it.
	Page
)

// Message is what controllers send to each other about their membership.
type Message struct {
	Kind     Kind   `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
	// From describes the sender.
	From Member `cbor:"3,keyasint"`
	// Target is the member that a PingRequest or a passed-on Ack is about, or
	// the place in the list for pages.
	Target netip.AddrPort `cbor:"4,keyasint,omitzero"`
	// Updates is gossip, or the members of a page.
	Updates []Member `cbor:"5,keyasint,omitempty"`
	// BundleVersion is the version in force at the sender.
	BundleVersion uint64 `cbor:"6,keyasint,omitempty"`
}

// Check reports the first fault of a message that was received.
func (m Message) Check() error {
	if m.Kind < Ping || m.Kind > Page {
		return invalid("kind %d", uint8(m.Kind))
	}
	if err := m.From.Check(); err != nil {
		return err
	}
	if m.Kind == PingRequest && !m.Target.IsValid() {
		return invalid("a ping request without a target")
	}
	limit := maxUpdates
	if m.Kind == Page {
		limit = pageMembers
	}
	if len(m.Updates) > limit {
		return invalid("%d updates, takes at most %d", len(m.Updates), limit)
	}
	for _, u := range m.Updates {
		if err := u.Check(); err != nil {
			return err
		}
	}
	return nil
}
