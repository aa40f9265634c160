package caller

import (
	"context"
	"time"
)

// watchdog ends a call whose connection stays silent past a deadline.
type watchdog struct {
	timer *time.Timer
}

func newWatchdog(deadline time.Time, cancel context.CancelCauseFunc) *watchdog {
	return &watchdog{timer: time.AfterFunc(time.Until(deadline), func() { cancel(ErrSilent) })}
}

// expect sets the deadline of the next byte.
func (w *watchdog) expect(deadline time.Time) { w.timer.Reset(time.Until(deadline)) }

// rest stops the watch while nobody waits for a byte.
func (w *watchdog) rest() { w.timer.Stop() }
