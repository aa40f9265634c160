// Package announcer takes part in the membership of the controllers: it pings
// peers and answers them, and tells who is there. What it tells is a hint.
package announcer

import (
	"net/netip"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/tracker"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/platform/storer"
)

// inputLimit bounds the inputs that wait for the announcer.
const inputLimit = 1024

// Peers sends messages to controllers by their addresses. Loss is expected.
type Peers interface {
	SendTo(address netip.AddrPort, m messenger.Message)
	// Probe sends m over a connection of its own.
	Probe(address netip.AddrPort, m messenger.Message)
}

// Config holds what an Announcer is built from.
type Config struct {
	// Self is this controller.
	Self tracker.Member
	// Seeds are the first addresses to contact.
	Seeds []netip.AddrPort
	// Seed starts the random choices.
	Seed  uint64
	Peers Peers
	// OnMembers takes the peers that are alive or suspect after each change.
	OnMembers func([]tracker.Member)
	// BundleVersion returns the version in force here.
	BundleVersion func() uint64
	Log           *logrus.Entry
}

// input is one thing that happened; exactly one of its fields is set.
type input struct {
	message *arrival
	vms     []storer.VM
	leave   bool
}

// arrival is a message with the way back on the connection that it came on.
type arrival struct {
	message tracker.Message
	answer  func(messenger.Message) bool
}
