package quarantiner

import (
	"slices"
	"time"
)

const (
	// hubTimeout is the time without a message of the hub after which a VM decides from
	// the crashes that it has seen itself.
	hubTimeout = 2 * time.Second
	// rowGrace is how long quarantines of an earlier hub stay in force while VMs report
	// them to the next one.
	rowGrace = 2 * time.Second
	// repeatInterval is the time between two equal reports of answers, or of refusals.
	repeatInterval = 200 * time.Millisecond
	// maxEvents bounds the events that are kept for the next hub.
	maxEvents = 1024
)

// Refusal is the reason for which a request is not sent.
type Refusal struct {
	Fingerprint Fingerprint
	// TrialAt is when the next request with the fingerprint may be sent, zero if that is
	// not known.
	TrialAt time.Time
}

// Change is a quarantine that began or ended on this VM, or a trial.
type Change struct {
	Row   Row
	Trial bool
}

// Guard decides on one VM which requests are not sent, by the rows of the hub. Without a
// hub it goes by the crashes that the VM has seen.
type Guard struct {
	node string
	// own holds the crashes and answers that this VM has seen.
	own *Ledger
	// rows are those of the hub, graceUntil the ends of quarantines that the present hub
	// has not stated.
	rows       map[Fingerprint]Row
	graceUntil map[Fingerprint]time.Time
	hubUntil   time.Time
	// triedTrials holds the numbers of the trials that this VM has begun.
	triedTrials map[Fingerprint]int
	// repeatAt is when an answer, or a refusal, is reported again.
	repeatAt map[repeatKey]time.Time

	// events are the latest ones; lastEvent is the number of the newest.
	events    []Event
	lastEvent uint64
}

type repeatKey struct {
	fingerprint Fingerprint
	eventType   EventType
}

// NewGuard returns the Guard of a VM.
func NewGuard(node string) *Guard {
	return &Guard{
		node: node, own: NewLedger(), rows: make(map[Fingerprint]Row), graceUntil: make(map[Fingerprint]time.Time),
		triedTrials: make(map[Fingerprint]int), repeatAt: make(map[repeatKey]time.Time),
	}
}

// RecordCrash records a crash that this VM has seen. Each event holds a part of the
// fingerprints; the process joins them.
func (g *Guard) RecordCrash(now time.Time, c Crash) {
	all := c.Fingerprints[:min(len(c.Fingerprints), maxCrashFingerprints)]
	for list := range slices.Chunk(all, MaxFingerprints) {
		c.Fingerprints = list
		g.own.RecordCrash(now, c)
		g.report(Event{Type: Crashed, Fingerprints: list, Process: c.Process, Weights: c.Weights, SentAt: c.SentAt, At: c.At})
	}
}

// RecordAnswer records a complete response to a request. It reports whether the hub is to
// be informed at once.
func (g *Guard) RecordAnswer(now time.Time, fingerprints []Fingerprint, weights uint64) bool {
	asked := make([]Fingerprint, 0)
	for _, f := range fingerprints {
		g.own.RecordAnswer(now, f, now, weights)
		if _, ok := g.rows[f]; ok && g.mayRepeat(now, f, Answered) {
			asked = append(asked, f)
		}
	}
	g.reportAnswer(answer{at: now, weights: weights}, asked)
	return len(asked) > 0
}

// reportAnswer reports one answer for a list of fingerprints.
func (g *Guard) reportAnswer(a answer, list []Fingerprint) {
	for part := range slices.Chunk(list, MaxFingerprints) {
		g.report(Event{Type: Answered, Fingerprints: part, Weights: a.weights, At: a.at})
	}
}

// mayRepeat reports whether an event on a fingerprint has not been reported lately.
func (g *Guard) mayRepeat(now time.Time, f Fingerprint, t EventType) bool {
	key := repeatKey{f, t}
	if now.Before(g.repeatAt[key]) {
		return false
	}
	g.repeatAt[key] = now.Add(repeatInterval)
	return true
}

func (g *Guard) report(e Event) {
	g.events = append(g.events, e)
	g.lastEvent++
	if over := len(g.events) - maxEvents; over > 0 {
		g.events = append(g.events[:0], g.events[over:]...)
	}
}

// Check returns the refusal of a request, or false if it may be sent.
func (g *Guard) Check(now time.Time, fingerprints []Fingerprint) (Refusal, bool) {
	var refusal Refusal
	var quarantined []Fingerprint
	refused := false
	for _, f := range fingerprints {
		row, ok := g.quarantine(now, f)
		if !ok {
			continue
		}
		quarantined = append(quarantined, f)
		if !g.onTrial(now, row) && !refused {
			refusal, refused = Refusal{Fingerprint: f, TrialAt: row.TrialAt}, true
		}
	}
	if !refused {
		return Refusal{}, false
	}
	if now.After(g.hubUntil) {
		g.own.RecordDemand(now, g.node, quarantined)
	}
	if g.mayRepeat(now, refusal.Fingerprint, Refused) {
		// Events of equal size, since requests with few quarantined fingerprints go on trial first.
		events := (len(quarantined) + MaxFingerprints - 1) / MaxFingerprints
		for list := range slices.Chunk(quarantined, (len(quarantined)+events-1)/events) {
			g.report(Event{Type: Refused, Fingerprints: list, At: now})
		}
	}
	return refusal, true
}

// quarantine returns the row of a quarantined fingerprint.
func (g *Guard) quarantine(now time.Time, f Fingerprint) (Row, bool) {
	if row, ok := g.rows[f]; ok && row.State == Quarantined {
		return row, true
	}
	if now.Before(g.graceUntil[f]) {
		return Row{Fingerprint: f, State: Quarantined}, true
	}
	if now.Before(g.hubUntil) {
		return Row{}, false
	}
	g.own.Advance(now)
	if !g.own.IsQuarantined(f) {
		return Row{}, false
	}
	return g.own.row(f), true
}

// Apply applies the rows of a message of the hub; all of its rows if it is full. It
// returns what has changed, and whether the hub is to be informed of answers at once.
func (g *Guard) Apply(now time.Time, full bool, rows []Row) (changes []Change, urgent bool) {
	g.hubUntil = now.Add(hubTimeout)
	g.forget(now)
	if full {
		changes = g.replace(now, rows)
	}
	answers := make(map[answer][]Fingerprint)
	for _, row := range rows {
		known := g.rows[row.Fingerprint]
		g.set(row)
		switch {
		case (known.State == Quarantined) != (row.State == Quarantined):
			changes = append(changes, Change{Row: row})
		case row.Trials > known.Trials:
			changes = append(changes, Change{Row: row, Trial: true})
		}
		if row.State == Clear {
			continue
		}
		// One from before the first crash shows that other parts are likelier causes.
		if a, ok := g.own.answered(row.Fingerprint); ok && (known.State == Clear || !a.at.Before(row.FirstAt)) {
			answers[a] = append(answers[a], row.Fingerprint)
		}
	}
	for a, list := range answers {
		g.reportAnswer(a, list)
	}
	return changes, len(answers) > 0
}

func (g *Guard) set(row Row) {
	delete(g.graceUntil, row.Fingerprint)
	if row.State == Clear {
		delete(g.rows, row.Fingerprint)
		delete(g.triedTrials, row.Fingerprint)
		return
	}
	g.rows[row.Fingerprint] = row
}

// replace removes the rows that a full message lacks. Quarantines stay for rowGrace.
func (g *Guard) replace(now time.Time, rows []Row) []Change {
	stated := make(map[Fingerprint]bool, len(rows))
	for _, row := range rows {
		stated[row.Fingerprint] = true
	}
	var changes []Change
	for f, row := range g.rows {
		if stated[f] {
			continue
		}
		delete(g.rows, f)
		if row.State == Quarantined {
			g.graceUntil[f] = now.Add(rowGrace)
			changes = append(changes, Change{Row: Row{Fingerprint: f}})
		}
	}
	return changes
}

// Restore applies the quarantines in the platform's store. They are reported to the hub;
// without one they are in force until there is one.
func (g *Guard) Restore(now time.Time, rows []Row) {
	for _, row := range rows {
		if _, known := g.rows[row.Fingerprint]; known {
			continue
		}
		// The crashes may be over since a trial that was due meanwhile.
		row.TrialAt = now.Add(min(max(row.TrialAt.Sub(now), trialDelays[0]), trialDelays[len(trialDelays)-1]))
		g.report(knownEvent(row))
		if !now.Before(g.hubUntil) {
			g.rows[row.Fingerprint] = row
		}
	}
}

// forget removes what is no longer needed.
func (g *Guard) forget(now time.Time) {
	for f, until := range g.graceUntil {
		if !now.Before(until) {
			delete(g.graceUntil, f)
		}
	}
	for key, at := range g.repeatAt {
		if !now.Before(at) {
			delete(g.repeatAt, key)
		}
	}
}

// Events returns the events after a number, and the number of the last one.
func (g *Guard) Events(after uint64) ([]Event, uint64) {
	first := g.lastEvent - uint64(len(g.events)) + 1
	skip := 0
	if after >= first {
		skip = int(min(after-first+1, uint64(len(g.events))))
	}
	return append([]Event(nil), g.events[skip:]...), g.lastEvent
}

func knownEvent(row Row) Event {
	return Event{Type: Known, Fingerprints: []Fingerprint{row.Fingerprint}, At: row.LastAt, Trials: row.Trials, TrialAt: row.TrialAt}
}

// Snapshot returns the events that another hub needs: the latest crashes and answers, and
// the quarantines in force. It returns the number of the last event.
func (g *Guard) Snapshot(now time.Time) ([]Event, uint64) {
	var events []Event
	for _, e := range g.events {
		if e.Type != Refused && now.Sub(e.At) <= crashTTL {
			events = append(events, e)
		}
	}
	for _, row := range g.rows {
		if row.State == Quarantined {
			events = append(events, knownEvent(row))
		}
	}
	return events, g.lastEvent
}
