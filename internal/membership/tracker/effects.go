package tracker

import "net/netip"

// OutgoingMessage is a message to be sent. Delivery is best effort: the protocol
// tolerates its loss.
type OutgoingMessage struct {
	To      netip.AddrPort
	Message Message
	// NewConnection requests a new connection, because the current one may have
	// stopped delivering without an error.
	NewConnection bool
}

// Change describes a member whose state or incarnation changed.
type Change struct {
	Member Member
	// PreviousState is the state before the change, or 0 for a new member.
	PreviousState State
}

// Effects holds the messages to send and the member changes that result from
// one event.
type Effects struct {
	Outgoing []OutgoingMessage
	Changes  []Change
	// SelfLeaving reports that the platform's list marks this VM as leaving.
	SelfLeaving bool
}

func (e *Effects) send(to netip.AddrPort, m Message) {
	e.Outgoing = append(e.Outgoing, OutgoingMessage{To: to, Message: m})
}
