package tracker

import "time"

// absorbGap moves the timers along where the clock jumped or the process was
// paused. The silence of that time was this process's own, so that nobody is
// suspected for it.
func (t *Tracker) absorbGap(now time.Time) {
	gap := now.Sub(t.tickedAt)
	t.tickedAt = now
	if gap >= 0 && gap <= maxGap {
		return
	}
	t.probe = probe{}
	t.relays = nil
	t.probeAt = t.probeAt.Add(gap)
	t.contactAt = t.contactAt.Add(gap)
	t.paging.at = t.paging.at.Add(gap)
	if !t.timersAt.IsZero() {
		t.timersAt = t.timersAt.Add(gap)
	}
	for _, rec := range t.records {
		if !rec.deadAt.IsZero() {
			rec.deadAt = rec.deadAt.Add(gap)
		}
		if !rec.forgetAt.IsZero() {
			rec.forgetAt = rec.forgetAt.Add(gap)
		}
	}
}
