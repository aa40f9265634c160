package tracker

import (
	"net/netip"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// maxNameBytes is the longest name in a message.
const maxNameBytes = 64

// Member is one controller as a message describes it. Its address identifies
// it. Names are left out where only the state changed.
type Member struct {
	Address          netip.AddrPort `cbor:"1,keyasint" json:"address"`
	Incarnation      uint64         `cbor:"2,keyasint" json:"incarnation"`
	State            State          `cbor:"3,keyasint" json:"state"`
	Name             string         `cbor:"4,keyasint,omitempty" json:"name"`
	Region           string         `cbor:"5,keyasint,omitempty" json:"region"`
	AvailabilityZone string         `cbor:"6,keyasint,omitempty" json:"availability_zone"`
}

// Check reports the first fault of a member that was received.
func (m Member) Check() error {
	if !m.Address.IsValid() || m.Address.Port() == 0 {
		return invalid("address %q", m.Address)
	}
	if m.Incarnation == 0 {
		return invalid("incarnation 0 of %s", m.Address)
	}
	if m.State < Alive || m.State > Dead {
		return invalid("state %d of %s", uint8(m.State), m.Address)
	}
	if max(len(m.Name), len(m.Region), len(m.AvailabilityZone)) > maxNameBytes {
		return invalid("a name of %s is too long", m.Address)
	}
	return nil
}

// supersedes reports whether m is newer knowledge than other.
func (m Member) supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.State > other.State
}

// describedBy returns m with the names that it lacks taken from other.
func (m Member) describedBy(other Member) Member {
	if m.Name != "" {
		return m
	}
	m.Name = other.Name
	m.Region = other.Region
	m.AvailabilityZone = other.AvailabilityZone
	return m
}

func invalid(format string, args ...any) error {
	return classifier.New(classifier.MessageInvalid, format, args...)
}
