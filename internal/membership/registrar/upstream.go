// Package registrar holds the upstreams that have registered themselves with the
// platform and determines which of them accept new requests. It does no I/O and
// reads no clock.
package registrar

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"
	"unicode"
)

// maxSlots is the most slots of an upstream. The sum over all upstreams of a deployment
// fits an int.
const maxSlots = math.MaxInt32

// Upstream is the decoded store entry of an upstream.
type Upstream struct {
	// ID is the identifier under which the upstream's process registered.
	ID               string
	Service          string
	Address          netip.AddrPort
	AvailabilityZone string
	Slots            int
	// Leaving is true while the upstream drains: it gets no new requests.
	Leaving bool
	// Weights maps each served model to the version of its weights.
	Weights map[string]uint64
	// StartedAt is when the process started. It distinguishes two processes that
	// registered under the same ID, and is zero if the upstream does not say.
	StartedAt time.Time
	// Orders is the number of orders that the process had accepted when it wrote
	// the entry.
	Orders uint64
}

// Check returns an error for an upstream that no process can be.
func (u *Upstream) Check() error {
	switch {
	case u.ID == "" || strings.ContainsFunc(u.ID, unicode.IsControl):
		return errors.New("invalid ID") // requests state it in a header
	case u.Service == "":
		return errors.New("service is empty")
	case u.Slots < 1 || u.Slots > maxSlots:
		return fmt.Errorf("%d slots, want 1 to %d", u.Slots, maxSlots)
	}
	return CheckAddress(u.Address)
}

// CheckAddress returns an error for an address that is not the same process to all VMs, or
// none at all. Loopback addresses are those of a deployment on one machine.
func CheckAddress(a netip.AddrPort) error {
	switch ip := a.Addr().Unmap(); {
	case a.Port() == 0:
		return errors.New("port is 0")
	case ip.Zone() != "", !ip.IsGlobalUnicast() && !ip.IsLoopback():
		return fmt.Errorf("address %s is not a unicast address of all networks", ip)
	}
	return nil
}

// SameProcess reports whether two entries were written by the same process of an
// upstream.
func (u *Upstream) SameProcess(other *Upstream) bool {
	return u.Address == other.Address && u.StartedAt.Equal(other.StartedAt)
}

// supersedes reports whether an entry that may be an older one of the store is of a later
// state than a known one. A process that leaves does not become ready again, the number of
// its orders only rises, and its weights change at most once for each order.
func (u *Upstream) supersedes(known *Upstream) bool {
	switch {
	case !u.SameProcess(known):
		return u.follows(known)
	case u.Leaving != known.Leaving:
		return u.Leaving
	case u.Orders != known.Orders:
		return u.Orders > known.Orders
	}
	for model, version := range known.Weights {
		if u.Weights[model] < version {
			return false
		}
	}
	return true
}

// follows reports whether the entry is of another process than an earlier known one, and
// not of one that started before it.
func (u *Upstream) follows(known *Upstream) bool {
	return !u.SameProcess(known) && !u.StartedAt.Before(known.StartedAt)
}

// isReplaced reports whether the upstream has ended because a process that started at
// newest has its address. The entry of an upstream that crashed, or that a restored store
// holds again, remains for some time.
func (u *Upstream) isReplaced(newest time.Time) bool {
	return !u.StartedAt.IsZero() && u.StartedAt.Before(newest)
}

// StartMillis returns the start time of a process in Unix milliseconds, 0 if it is not
// known.
func StartMillis(startedAt time.Time) int64 {
	if startedAt.IsZero() {
		return 0
	}
	return startedAt.UnixMilli()
}
