package watcher

import (
	"iter"
	"maps"
	"time"
)

func (w *Watcher) names() iter.Seq[string] { return maps.Keys(w.upstreams) }

// markLeaving takes an upstream out of service. For an upstream that is leaving
// already, a later signal only raises the time that a report must be newer than
// to restore it.
func (w *Watcher) markLeaving(now time.Time, name string, signal Signal) []Change {
	u, ok := w.upstreams[name]
	if !ok {
		return nil
	}
	u.lastSignalAt = later(u.lastSignalAt, now)
	if u.State != InService {
		return nil
	}
	u.State = Leaving
	u.Signal = signal
	u.drainDeadline = now.Add(DrainTimeout)
	return []Change{{Upstream: name, OldState: InService, NewState: Leaving, Signal: signal}}
}

// restore returns an upstream to service because of a report made at reportedAt.
func (w *Watcher) restore(name string, reportedAt time.Time) []Change {
	u := w.upstreams[name]
	oldState := u.State
	u.State = InService
	u.Signal = ""
	u.consecutiveRefusals = 0
	u.restoredAt = reportedAt
	u.holdDownUntil = time.Time{}
	return []Change{{Upstream: name, OldState: oldState, NewState: InService, Signal: OwnReport}}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
