package withholder

import (
	"net/netip"
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
)

// Incarnation identifies one process of an upstream.
type Incarnation struct {
	// ID is empty if the process is known by its address only.
	ID      string
	Address netip.AddrPort
	// StartedAt is zero if it is not known.
	StartedAt time.Time
}

func newIncarnation(u *registrar.Upstream) Incarnation {
	return Incarnation{ID: u.ID, Address: u.Address, StartedAt: u.StartedAt}
}

// senderOf returns the earliest process that can have sent a notice in response to a
// request to u. One that has started later under the same ID, and whose entry has not
// arrived yet, may have sent it as well.
func senderOf(u *registrar.Upstream, n Notice) Incarnation {
	switch {
	case n.Instance != "" && n.Instance != u.ID:
		return Incarnation{ID: n.Instance, Address: u.Address}
	case n.Instance == "" && n.Misdirected:
		return Incarnation{Address: u.Address}
	}
	return newIncarnation(u)
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

// movedFrom reports whether the incarnation is at another address than an earlier one, so
// that it has sent no response from there.
func (i Incarnation) movedFrom(earlier Incarnation) bool {
	if i.Address == earlier.Address {
		return false
	}
	return i.StartedAt.IsZero() || earlier.StartedAt.IsZero() || i.StartedAt.After(earlier.StartedAt)
}
