package withholder

import (
	"net/netip"
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
)

// maxClockSkew is the assumed limit of the difference between the clocks of a VM
// and an upstream.
const maxClockSkew = 10 * time.Second

// Incarnation identifies one process of an upstream.
type Incarnation struct {
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
	return Incarnation{ID: u.ID, Address: u.Address, StartedAt: u.StartedAt}
}

// endedBy reports whether other, which has the same ID, is a later process. An
// earlier one is not: an outdated store entry may still describe it.
func (i Incarnation) endedBy(other Incarnation) bool {
	if i.StartedAt.IsZero() || other.StartedAt.IsZero() {
		return i.Address != other.Address
	}
	return other.StartedAt.After(i.StartedAt)
}
