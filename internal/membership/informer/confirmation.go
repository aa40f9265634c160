package informer

import "time"

const (
	// responseMargin is how long an undisturbed call to the store takes beyond its
	// long-poll timeout, and the longest pause between two such calls.
	responseMargin = 500 * time.Millisecond
	// maxTickInterval is the time between two ticks of Run from which the process
	// counts as suspended.
	maxTickInterval = 4 * expireInterval
	// backlogTime is the time after a suspension in which messages may arrive that
	// were sent during it.
	backlogTime = time.Second
	// clockTolerance is the least suspension that counts. Clocks are not read at the
	// same instant.
	clockTolerance = 50 * time.Millisecond
)

// confirmation tracks until when the operators' entries of this VM are known to have
// been complete. It is not safe for concurrent use.
type confirmation struct {
	// readStopped returns for how long the monotonic clock has stood still, or less,
	// and stopped is the most that it returned.
	readStopped func() time.Duration
	stopped     time.Duration

	// at is the last time at which the entries are known to have been complete.
	at time.Time
	// calledAt is when the last call to the store was sent, and answerBy when its
	// response is due if nothing disturbs it.
	calledAt time.Time
	answerBy time.Time
	// awakeAt is the last time at which the process is known to have run.
	awakeAt time.Time
	// suspendedFrom and suspendedUntil bound the last suspension of the process.
	suspendedFrom  time.Time
	suspendedUntil time.Time
}

// start begins to watch for suspensions. handleTick must be called regularly from now on.
func (c *confirmation) start(now time.Time) {
	c.awakeAt, c.stopped = now, c.readStopped()
}

// handleTick records that the process runs. It returns for how long the monotonic clock
// has stood still since the last tick; times recorded before are earlier by that much.
func (c *confirmation) handleTick(now time.Time) time.Duration {
	if c.awakeAt.IsZero() {
		return 0
	}
	stopped := c.readStopped() - c.stopped
	if stopped < clockTolerance {
		stopped = 0
	}
	c.stopped += stopped
	c.shift(stopped)
	if now.Sub(c.awakeAt) > maxTickInterval {
		c.suspendedFrom, c.suspendedUntil = c.awakeAt, now
	}
	c.awakeAt = latest(c.awakeAt, now)
	return stopped
}

// shift moves all recorded times to the past.
func (c *confirmation) shift(d time.Duration) {
	for _, at := range []*time.Time{&c.at, &c.calledAt, &c.answerBy, &c.awakeAt, &c.suspendedFrom, &c.suspendedUntil} {
		if !at.IsZero() {
			*at = at.Add(-d)
		}
	}
}

// handleCall records a call to the store that lasts up to wait if nothing changes.
func (c *confirmation) handleCall(now time.Time, wait time.Duration) {
	c.calledAt, c.answerBy = now, now.Add(wait+responseMargin)
}

// handleResponse records the response to the last call and returns the earliest time
// from which its changes may have been in the store.
func (c *confirmation) handleResponse(now time.Time) time.Time {
	previous, watched := c.at, c.calledAt.Sub(c.at) <= responseMargin
	switch {
	case c.calledAt.IsZero():
		c.at = now
		return now
	case c.suspendedUntil.After(c.calledAt):
		c.at = latest(c.at, c.calledAt)
		if !watched {
			return previous
		}
		c.at = latest(c.at, c.suspendedFrom)
		return c.at
	case now.After(c.answerBy):
		// The response, or the call, has been on the way for an unknown time.
		c.at = latest(c.at, c.calledAt)
		return previous
	}
	c.at = now
	if !watched && now.Sub(c.calledAt) <= responseMargin {
		return previous
	}
	return now
}

// handleUpdate records that another VM had complete entries at a time, and returns the
// earliest time from which the changes that it sends may have been in the store.
func (c *confirmation) handleUpdate(now, completeAt time.Time) time.Time {
	previous := c.at
	if c.isBacklog(now) {
		completeAt = earliest(completeAt, c.suspendedFrom)
	}
	c.at = latest(c.at, completeAt)
	return previous
}

// isBacklog reports whether a message that arrives now may have been sent during a
// suspension.
func (c *confirmation) isBacklog(now time.Time) bool {
	return !c.suspendedUntil.IsZero() && now.Sub(c.suspendedUntil) < backlogTime
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
