// Package announcer runs the membership protocol among the controllers: it exchanges
// messages with peers and reports membership changes. The reported membership is
// eventually consistent; callers must treat it as a hint.
package announcer

import (
	"net/netip"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/tracker"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/platform/storer"
)

// inputQueueSize is the number of inputs that can be queued for Run.
const inputQueueSize = 1024

// Peers sends messages to controllers by address. Delivery is best effort: the
// protocol tolerates the loss of messages.
type Peers interface {
	// SendTo sends m over the connection to address, which is opened if needed.
	SendTo(address netip.AddrPort, m messenger.Message)
	// Probe sends m over a new connection, because the existing one may lose
	// messages without an error.
	Probe(address netip.AddrPort, m messenger.Message)
}

// Config configures an Announcer.
type Config struct {
	// Self describes this controller.
	Self tracker.Member
	// Seeds are the addresses of controllers that are contacted for discovery.
	Seeds []netip.AddrPort
	// Seed seeds the random number generator of the tracker.
	Seed  uint64
	Peers Peers
	// OnMembers is called after each membership change with the peers that are
	// alive or suspect and whose names are known.
	OnMembers func([]tracker.Member)
	// BundleVersion returns the version of the bundle in force at this controller,
	// which is announced to the peers.
	BundleVersion func() uint64
	Log           *logrus.Entry
}

// input is an event for Run to handle. Exactly one of its fields is set.
type input struct {
	message *receivedMessage
	vms     []storer.VM
	leave   bool
}

// receivedMessage is a message received from a peer. reply sends a message on the same
// connection and reports whether it was queued.
type receivedMessage struct {
	message tracker.Message
	reply   func(messenger.Message) bool
}
