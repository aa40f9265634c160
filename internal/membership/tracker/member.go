package tracker

import (
	"net/netip"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// maxNameBytes is the maximum length of each name of a member in a message.
const maxNameBytes = 64

// Member describes one controller in a message. It is identified by its address.
// Name, Region and AvailabilityZone may be empty if only the state changed.
type Member struct {
	Address          netip.AddrPort `cbor:"1,keyasint" json:"address"`
	Incarnation      uint64         `cbor:"2,keyasint" json:"incarnation"`
	State            State          `cbor:"3,keyasint" json:"state"`
	Name             string         `cbor:"4,keyasint,omitempty" json:"name"`
	Region           string         `cbor:"5,keyasint,omitempty" json:"region"`
	AvailabilityZone string         `cbor:"6,keyasint,omitempty" json:"availability_zone"`
}

// Check returns an error for the first invalid field of a received member.
func (m Member) Check() error {
	if !m.Address.IsValid() || m.Address.Port() == 0 {
		return invalid("invalid member address %q", m.Address)
	}
	if m.Incarnation == 0 {
		return invalid("member %s has incarnation 0", m.Address)
	}
	if m.State < Alive || m.State > Dead {
		return invalid("unknown state %d of member %s", uint8(m.State), m.Address)
	}
	if max(len(m.Name), len(m.Region), len(m.AvailabilityZone)) > maxNameBytes {
		return invalid("name, region or availability zone of member %s is too long", m.Address)
	}
	return nil
}

// supersedes reports whether m overrides other: it has a later incarnation, or a
// higher state in the same one.
func (m Member) supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.State > other.State
}

// withNamesFrom returns m with Name, Region and AvailabilityZone copied from other
// if m has no name.
func (m Member) withNamesFrom(other Member) Member {
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
