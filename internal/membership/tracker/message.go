package tracker

import "net/netip"

const (
	// maxUpdates is the maximum number of members gossiped in any message but a
	// page.
	maxUpdates = 8
	// pageMembers is the maximum number of members in one page.
	pageMembers = 64
)

// Kind is the type of a message.
type Kind uint8

// Kinds of message.
const (
	// Ping requests an Ack with the same sequence number.
	Ping Kind = iota + 1
	Ack
	// PingRequest asks the receiver to ping Target and forward its Ack (an
	// indirect ping).
	PingRequest
	// PageRequest requests the members with addresses greater than Target.
	PageRequest
	// Page is the reply to a PageRequest. If more members follow, Target is the
	// address of the last one in the page.
	Page
)

// Message is a message of the membership protocol between controllers.
type Message struct {
	Kind     Kind   `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
	// From is the sender as a member.
	From Member `cbor:"3,keyasint"`
	// Target is the pinged member in a PingRequest or a forwarded Ack, or the
	// cursor in the list of members, ordered by address, in a PageRequest or Page.
	Target netip.AddrPort `cbor:"4,keyasint,omitzero"`
	// Updates holds gossiped members, or the members of a Page.
	Updates []Member `cbor:"5,keyasint,omitempty"`
	// BundleVersion is the version of the bundle in force at the sender.
	BundleVersion uint64 `cbor:"6,keyasint,omitempty"`
}

// Check returns an error for the first invalid field of a received message.
func (m Message) Check() error {
	if m.Kind < Ping || m.Kind > Page {
		return invalid("unknown message kind %d", uint8(m.Kind))
	}
	if err := m.From.Check(); err != nil {
		return err
	}
	if m.Kind == PingRequest && !m.Target.IsValid() {
		return invalid("ping request has no target")
	}
	limit := maxUpdates
	if m.Kind == Page {
		limit = pageMembers
	}
	if len(m.Updates) > limit {
		return invalid("got %d updates, want at most %d", len(m.Updates), limit)
	}
	for _, u := range m.Updates {
		if err := u.Check(); err != nil {
			return err
		}
	}
	return nil
}
