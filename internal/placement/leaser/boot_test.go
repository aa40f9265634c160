package leaser

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/operating/timekeeper"
)

// TestLeaseExpiresDuringVMSuspension guards against a lease that outlives the
// suspension of its VM: the monotonic clock stops during a suspension and the
// wall clock may be set back, so only CLOCK_BOOTTIME shows that the deadline
// has passed.
func TestLeaseExpiresDuringVMSuspension(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Now()
	lease := Lease{Fencing: 1, Deadline: now.Add(time.Second), bootDeadline: newBootDeadline(timekeeper.SinceBoot, time.Second)}
	is.True(lease.Valid(now))
	lease.bootDeadline.at = timekeeper.SinceBoot() // the lease expired during the suspension
	is.True(!lease.Valid(now))
}
