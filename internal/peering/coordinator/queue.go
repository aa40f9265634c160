package coordinator

import "gentianstep.example/gentianstep/internal/routing/quarantiner"

// evidenceQueue holds the events that one connection to a hub has yet to report.
type evidenceQueue struct {
	source Quarantines
	events []quarantiner.Event
	// last is the number of the last event that was taken from the source.
	last uint64
}

// newEvidenceQueue returns a queue that begins with what another hub needs.
func newEvidenceQueue(source Quarantines) *evidenceQueue {
	q := &evidenceQueue{source: source}
	if source != nil {
		q.events, q.last = source.Snapshot()
	}
	return q
}

// next returns the events of the next report.
func (q *evidenceQueue) next() []quarantiner.Event {
	if q.source == nil {
		return nil
	}
	added, last := q.source.Events(q.last)
	q.events, q.last = append(q.events, added...), last
	n := min(len(q.events), maxEvidence)
	events := q.events[:n:n]
	q.events = q.events[n:]
	return events
}
