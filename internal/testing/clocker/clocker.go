// Package clocker stands in for clocks of the kernel that testing/synctest does not
// replace.
package clocker

import "time"

// SinceBoot stands in for CLOCK_BOOTTIME. It follows virtual time, so that a busy machine
// does not make deadlines pass.
func SinceBoot() time.Duration { return time.Duration(time.Now().UnixNano()) }
