package tracker

import "time"

// mergeAll takes in what a message says of its sender and of others.
func (t *Tracker) mergeAll(now time.Time, m Message, e *Effects) {
	t.merge(now, m.From, e)
	for _, u := range m.Updates {
		t.merge(now, u, e)
	}
}

// merge takes in one report if it is newer than what is known.
func (t *Tracker) merge(now time.Time, m Member, e *Effects) {
	if m.Address == t.self.Address {
		t.object(m)
		return
	}
	rec, known := t.records[m.Address]
	if !known {
		t.admit(now, m, e)
		return
	}
	if !m.supersedes(rec.Member) {
		return
	}
	t.set(now, rec, m.describedBy(rec.Member), e)
}

func (t *Tracker) admit(now time.Time, m Member, e *Effects) {
	if m.State == Dead || len(t.records) >= maxMembers {
		return
	}
	rec := &record{}
	t.records[m.Address] = rec
	t.ring = append(t.ring, m.Address)
	last := len(t.ring) - 1
	i := t.rng.IntN(last + 1)
	t.ring[i], t.ring[last] = t.ring[last], t.ring[i]
	t.set(now, rec, m, e)
}

// set puts a newer state in force, starts its timers and passes it on.
func (t *Tracker) set(now time.Time, rec *record, m Member, e *Effects) {
	was := rec.State
	rec.Member = m
	rec.deadAt = time.Time{}
	rec.forgetAt = time.Time{}
	switch m.State {
	case Suspect:
		rec.deadAt = now.Add(t.suspicion())
	case Dead:
		rec.forgetAt = now.Add(forgetAfter)
	}
	t.watch(rec.deadAt)
	t.watch(rec.forgetAt)
	t.spread(m.Address)
	e.Changes = append(e.Changes, Change{Member: m, Was: was})
}

// object answers a report about this controller itself with a newer
// incarnation. Nobody else can tell that it is leaving or dead, and a report
// of a newer incarnation is of an earlier process whose clock was ahead.
func (t *Tracker) object(m Member) {
	if m.Incarnation < t.self.Incarnation {
		return
	}
	if m.Incarnation == t.self.Incarnation && (m.State == Alive || m.State == t.self.State) {
		return
	}
	t.self.Incarnation = m.Incarnation + 1
}

// suspicion is how long a suspect has for its objection.
func (t *Tracker) suspicion() time.Duration {
	return time.Duration(suspicionFactor*t.logSize()) * period
}
