package tracker

import "time"

// shiftTimersAfterGap shifts all timers by the time since the last tick if the
// clock jumped or the process was paused. Answers missed in a pause are no evidence
// against peers, so outstanding probes are discarded and no member is suspected.
func (t *Tracker) shiftTimersAfterGap(now time.Time) {
	gap := now.Sub(t.lastTickAt)
	t.lastTickAt = now
	if gap >= 0 && gap <= maxTickGap {
		return
	}
	t.probe = probe{}
	t.indirectPings = nil
	t.nextProbeAt = t.nextProbeAt.Add(gap)
	t.nextDiscoveryAt = t.nextDiscoveryAt.Add(gap)
	t.listSync.nextAt = t.listSync.nextAt.Add(gap)
	if !t.nextTimerAt.IsZero() {
		t.nextTimerAt = t.nextTimerAt.Add(gap)
	}
	for _, rec := range t.records {
		if !rec.deadAt.IsZero() {
			rec.deadAt = rec.deadAt.Add(gap)
		}
		if !rec.removeAt.IsZero() {
			rec.removeAt = rec.removeAt.Add(gap)
		}
	}
}
