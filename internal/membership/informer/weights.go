package informer

import "time"

// lateShare is the share of the time limit of a roll-out after which older weights are
// no longer used; the rest covers the time that a request waits at its engine.
const lateShare = 0.6

// OlderUsableUntil returns when engines with older weights are no longer used, given
// the time limit of a roll-out.
func (w Weights) OlderUsableUntil(limit time.Duration) time.Time {
	return w.Since.Add(time.Duration(lateShare * float64(limit)))
}
