package leaser

import "time"

// bootDeadline is a deadline on a clock that also advances while the VM is suspended. The
// zero value never passes; deadlines then rely on the monotonic clock and the wall clock
// alone.
type bootDeadline struct {
	at        time.Duration
	sinceBoot func() time.Duration
}

// newBootDeadline returns the deadline after a wait. sinceBoot returns 0 if the clock
// cannot be read.
func newBootDeadline(sinceBoot func() time.Duration, wait time.Duration) bootDeadline {
	now := sinceBoot()
	if now == 0 {
		return bootDeadline{}
	}
	return bootDeadline{at: now + wait, sinceBoot: sinceBoot}
}

func (d bootDeadline) passed() bool { return d.sinceBoot != nil && d.sinceBoot() >= d.at }
