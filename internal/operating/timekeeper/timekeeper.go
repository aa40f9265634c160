// Package timekeeper tells how long the VM has been suspended.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the VM booted, including time in suspension.
// It returns 0 if CLOCK_BOOTTIME cannot be read.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Suspended returns for how long CLOCK_MONOTONIC has stood still since the VM booted. It
// may be too little if the process is preempted meanwhile, never too much. It returns 0
// if a clock cannot be read.
func Suspended() time.Duration {
	const readings = 3
	suspended := time.Duration(0)
	for range readings {
		sinceBoot := SinceBoot()
		var t unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
			return 0
		}
		suspended = max(suspended, sinceBoot-time.Duration(t.Nano()))
	}
	return suspended
}
