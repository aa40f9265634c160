package caller

import (
	"context"
	"time"
)

// watchdog cancels a call if no byte arrives on its connection by a deadline.
type watchdog struct {
	timer *time.Timer
}

func newWatchdog(deadline time.Time, cancel context.CancelCauseFunc) *watchdog {
	return &watchdog{timer: time.AfterFunc(time.Until(deadline), func() { cancel(ErrSilent) })}
}

// setDeadline sets the deadline for the next byte.
func (w *watchdog) setDeadline(deadline time.Time) { w.timer.Reset(time.Until(deadline)) }

// stop suspends the deadline while no read is in progress.
func (w *watchdog) stop() { w.timer.Stop() }
