package leaser

import (
	"time"

	"gentianstep.example/gentianstep/internal/operating/timekeeper"
)

// bootDeadline returns the time since boot at which wait will have elapsed, or
// 0 if CLOCK_BOOTTIME cannot be read. Deadlines then rely on the monotonic clock
// and the wall clock alone.
func bootDeadline(wait time.Duration) time.Duration {
	now := timekeeper.SinceBoot()
	if now == 0 {
		return 0
	}
	return now + wait
}
