package noticer

import (
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/withholder"
)

// Departures returns the incarnations that have told this VM that they are leaving.
func (n *Noticer) Departures() []withholder.Incarnation {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.withholder.Departures(time.Now())
}

// RecordDepartures records the incarnations that have told another VM that they are
// leaving.
func (n *Noticer) RecordDepartures(list []withholder.Incarnation) {
	now := time.Now()
	n.mu.Lock()
	changes := make([]withholder.Change, 0, len(list))
	for _, i := range list {
		changes = append(changes, n.withholder.RecordDeparture(now, i)...)
	}
	onChange := n.onChange
	n.mu.Unlock()
	n.logChanges(changes, "")
	if len(changes) > 0 {
		onChange("")
	}
}

// IsLeaving reports whether u has stated that it is leaving, or may have.
func (n *Noticer) IsLeaving(u *registrar.Upstream) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.withholder.DrainUntil(time.Now(), u).IsZero()
}
