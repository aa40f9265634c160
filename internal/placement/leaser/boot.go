package leaser

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the VM booted, including time in suspension.
// It returns 0 if CLOCK_BOOTTIME cannot be read; deadlines then rely on the
// monotonic clock and the wall clock alone.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// bootDeadline returns the time since boot at which wait will have elapsed, or
// 0 if CLOCK_BOOTTIME cannot be read.
func bootDeadline(wait time.Duration) time.Duration {
	now := sinceBoot()
	if now == 0 {
		return 0
	}
	return now + wait
}
