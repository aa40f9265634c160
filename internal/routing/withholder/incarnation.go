package withholder

import (
	"net/netip"
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
)

// maxClockSkew is the assumed limit of the difference between the clocks of a VM
// and an upstream. Those of the platform may jump by seconds.
const maxClockSkew = 10 * time.Second

// Incarnation identifies one process of an upstream.
type Incarnation struct {
	// ID is empty if the process is known by its address only.
	ID      string
	Address netip.AddrPort
	// StartedAt is zero if it is not known.
	StartedAt time.Time
}

// incarnationOf returns the incarnation that sent a notice in response to a
// request to u.
func incarnationOf(u *registrar.Upstream, n Notice) Incarnation {
	if n.Instance != "" && n.Instance != u.ID {
		return Incarnation{ID: n.Instance, Address: u.Address}
	}
	if n.Instance == "" && n.Misdirected {
		return Incarnation{Address: u.Address}
	}
	return Incarnation{ID: u.ID, Address: u.Address, StartedAt: u.StartedAt}
}

// recordKey identifies a record by the ID of its incarnation, or by the address if the
// ID is empty.
type recordKey struct {
	id      string
	address netip.AddrPort
}

func (i Incarnation) key() recordKey {
	if i.ID == "" {
		return recordKey{address: i.Address}
	}
	return recordKey{id: i.ID}
}

// endedBy reports whether other, which has the same ID, is a later process. An
// earlier one is not: an outdated store entry may still describe it.
func (i Incarnation) endedBy(other Incarnation) bool {
	if i.StartedAt.IsZero() || other.StartedAt.IsZero() {
		return i.Address != other.Address
	}
	return other.StartedAt.After(i.StartedAt)
}
