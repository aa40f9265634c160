package leaser

import (
	"time"

	"gentianstep.example/gentianstep/internal/operating/timekeeper"
)

// Lease describes a lease that this node acquired. Until its deadline, the node
// may give orders to engines.
type Lease struct {
	// Fencing is the fencing number: the store revision at which the lease was
	// acquired. It increases with each acquisition.
	Fencing  uint64
	Deadline time.Time
	// PriorOrdersExpireAt is when all orders of earlier holders have expired.
	// Until then, upstreams that do not check fencing numbers must not receive
	// orders.
	PriorOrdersExpireAt time.Time
	// deadlineSinceBoot is the deadline on CLOCK_BOOTTIME, which also advances
	// while the VM is suspended. Zero means that the clock could not be read.
	deadlineSinceBoot time.Duration
}

// Valid reports whether the lease is still held at now. The deadline is checked
// against the monotonic clock, CLOCK_BOOTTIME and the wall clock, so that
// neither a suspended VM nor a wall clock that is set back extends the lease.
func (l Lease) Valid(now time.Time) bool {
	if l.deadlineSinceBoot > 0 && timekeeper.SinceBoot() >= l.deadlineSinceBoot {
		return false
	}
	return l.Fencing > 0 && now.Before(l.Deadline) && now.Round(0).Before(l.Deadline.Round(0))
}
