package leaser

import "time"

// Lease describes a lease that this node acquired. From its start to its deadline,
// the node may give orders to engines.
type Lease struct {
	// Fencing is the fencing number, which increases with each acquisition.
	Fencing uint64
	// StartsAt is when the leases that the store lost in a restore have expired on
	// their holders. It is zero if there can be none.
	StartsAt time.Time
	Deadline time.Time
	// PriorOrdersExpireAt is when all orders of earlier holders have expired.
	// Until then, upstreams that do not check fencing numbers must not receive
	// orders.
	PriorOrdersExpireAt time.Time
	// bootDeadline is the deadline on CLOCK_BOOTTIME, which also advances while the VM
	// is suspended.
	bootDeadline bootDeadline
}

// Valid reports whether the lease has started and is still held at now.
func (l Lease) Valid(now time.Time) bool {
	return !now.Before(l.StartsAt) && !l.expired(now)
}

// expired reports whether the deadline has passed. It is checked against the
// monotonic clock, CLOCK_BOOTTIME and the wall clock, so that neither a suspended VM
// nor a wall clock that is set back extends the lease.
func (l Lease) expired(now time.Time) bool {
	if l.bootDeadline.passed() {
		return true
	}
	return l.Fencing == 0 || !now.Before(l.Deadline) || !now.Round(0).Before(l.Deadline.Round(0))
}
