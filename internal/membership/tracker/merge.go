package tracker

import "time"

// mergeMessage merges the sender and the updates of a message into the view.
func (t *Tracker) mergeMessage(now time.Time, m Message, e *Effects) {
	t.mergeMember(now, m.From, e)
	for _, u := range m.Updates {
		t.mergeMember(now, u, e)
	}
}

// mergeMember merges one received member into the view if it supersedes the known
// record. A member with this controller's address may be refuted instead.
func (t *Tracker) mergeMember(now time.Time, m Member, e *Effects) {
	if m.Address == t.self.Address {
		t.refute(m)
		return
	}
	rec, known := t.records[m.Address]
	if !known {
		t.addMember(now, m, e)
		return
	}
	if !m.supersedes(rec.Member) {
		return
	}
	t.updateMember(now, rec, m.withNamesFrom(rec.Member), e)
}

// addMember adds an unknown member at a random position of the probe order. Dead
// members and members over maxMembers are not added.
func (t *Tracker) addMember(now time.Time, m Member, e *Effects) {
	if m.State == Dead || len(t.records) >= maxMembers {
		return
	}
	rec := &record{}
	t.records[m.Address] = rec
	t.probeOrder = append(t.probeOrder, m.Address)
	last := len(t.probeOrder) - 1
	i := t.rng.IntN(last + 1)
	t.probeOrder[i], t.probeOrder[last] = t.probeOrder[last], t.probeOrder[i]
	t.updateMember(now, rec, m, e)
}

// updateMember replaces the member of a record, resets its timers and queues the
// change for gossip.
func (t *Tracker) updateMember(now time.Time, rec *record, m Member, e *Effects) {
	previous := rec.State
	rec.Member = m
	rec.deadAt = time.Time{}
	rec.removeAt = time.Time{}
	switch m.State {
	case Suspect:
		rec.deadAt = now.Add(t.suspicionTimeout())
	case Dead:
		rec.removeAt = now.Add(deadRetention)
	}
	t.scheduleTimer(rec.deadAt)
	t.scheduleTimer(rec.removeAt)
	t.queueBroadcast(m.Address)
	e.Changes = append(e.Changes, Change{Member: m, PreviousState: previous})
}

// refute increases this controller's incarnation past that of a wrong report about
// it. A report of another state than its own is wrong, because it alone decides
// that it leaves. A report of a later incarnation stems from an earlier process
// whose clock was ahead.
func (t *Tracker) refute(m Member) {
	if m.Incarnation < t.self.Incarnation {
		return
	}
	if m.Incarnation == t.self.Incarnation && (m.State == Alive || m.State == t.self.State) {
		return
	}
	t.self.Incarnation = m.Incarnation + 1
}

// suspicionTimeout returns the time that a suspect has to refute the suspicion.
func (t *Tracker) suspicionTimeout() time.Duration {
	return time.Duration(suspicionFactor*t.log2Size()) * probeInterval
}
