package watcher

import (
	"iter"
	"maps"
	"time"
)

func (w *Watcher) names() iter.Seq[string] { return maps.Keys(w.upstreams) }

// leave takes an upstream out of service. A later sign moves the moment that
// a report has to be newer than, and nothing else.
func (w *Watcher) leave(now time.Time, name string, sign Sign) []Change {
	u, ok := w.upstreams[name]
	if !ok {
		return nil
	}
	u.leftAt = later(u.leftAt, now)
	if u.State != InService {
		return nil
	}
	u.State = Leaving
	u.Sign = sign
	u.goneAt = now.Add(goneAfter)
	return []Change{{Upstream: name, Was: InService, Is: Leaving, Sign: sign}}
}

// restore puts an upstream back in service.
func (w *Watcher) restore(name string, reportedAt time.Time) []Change {
	u := w.upstreams[name]
	was := u.State
	u.State = InService
	u.Sign = ""
	u.refusals = 0
	u.backAt = reportedAt
	u.heldUntil = time.Time{}
	return []Change{{Upstream: name, Was: was, Is: InService, Sign: OwnReport}}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
