package leaser

import "time"

// eras records which era of the store this node saw last, and when it saw it first.
// Before that time the store was restored, and may have lost the lease of a node that
// still holds it.
type eras struct {
	last      uint64
	firstSeen time.Time
}

// observe records that the store was in an era at now.
func (e *eras) observe(now time.Time, era uint64) {
	if e.firstSeen.IsZero() || era > e.last {
		e.last, e.firstSeen = era, now
	}
}
