package tracker

import "net/netip"

// Send is a message to be sent. Its loss is expected.
type Send struct {
	To      netip.AddrPort
	Message Message
	// Anew asks for a new connection: the one in use may have gone silent.
	Anew bool
}

// Change is a member whose state or incarnation changed.
type Change struct {
	Member Member
	// Was is the state before, 0 for a member that was unknown.
	Was State
}

// Effects is what an event asks for.
type Effects struct {
	Sends   []Send
	Changes []Change
	// SelfLeaving is true where the platform's list has this VM as leaving.
	SelfLeaving bool
}

func (e *Effects) send(to netip.AddrPort, m Message) {
	e.Sends = append(e.Sends, Send{To: to, Message: m})
}
