package leaser

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the start of the VM, suspensions included.
// It returns 0 where the clock cannot be read; the other clocks count then.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// bootDeadline returns the time since boot that is wait ahead, 0 where the
// clock cannot be read.
func bootDeadline(wait time.Duration) time.Duration {
	now := sinceBoot()
	if now == 0 {
		return 0
	}
	return now + wait
}
