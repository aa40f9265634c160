// Package registrar knows the upstreams that have registered themselves with
// the platform, and which of them may get new work. It does no I/O and reads
// no clock.
package registrar

import (
	"net/netip"
	"time"
)

// Upstream is what an upstream says of itself.
type Upstream struct {
	// ID names one run of the upstream.
	ID               string
	Service          string
	Address          netip.AddrPort
	AvailabilityZone string
	Slots            int
	// Leaving upstreams get no new work.
	Leaving bool
	// Weights maps each model that it serves to the version of its weights.
	Weights map[string]uint64
	// StartedAt tells two runs under one ID apart.
	StartedAt time.Time
	// Orders is the number of orders it had accepted.
	Orders uint64
}

// SameRun reports whether two entries are of one run of an upstream.
func (u *Upstream) SameRun(other *Upstream) bool {
	return u.Address == other.Address && u.StartedAt.Equal(other.StartedAt)
}
