package quarantiner

import (
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// suspectStrikes is the number of strikes from which on VMs are asked whether they have
	// seen answers, and quarantineStrikes the number from which on requests are refused.
	suspectStrikes    = 2
	quarantineStrikes = 3
	// suspectSpread and quarantineSpread are the same for crashes that are spreadInterval
	// apart, under requests that were under way at the same time: they are read for seconds.
	suspectSpread    = 3
	quarantineSpread = 5
	spreadInterval   = 250 * time.Millisecond
	// answerWait is the time for VMs to report answers before a quarantine begins: some
	// reports and messages of a large fleet.
	answerWait = 400 * time.Millisecond
	// crashTTL is how long a crash counts against what is not quarantined.
	crashTTL = 10 * time.Minute
	// quarantineTTL is how long a quarantine lasts after the last request with its
	// fingerprint.
	quarantineTTL = 6 * time.Hour
	// maxCrashes bounds the crashes that are kept of one fingerprint.
	maxCrashes = 8
	// Bounds of the numbers of fingerprints that are kept. Requests with new ones
	// displace older suspects, but no quarantines.
	maxSuspects    = 4096
	maxQuarantines = 1024
	maxAnswers     = 4096
	// MaxFingerprints is the number of fingerprints of one event, maxCrashFingerprints that
	// of one request that crashes count against.
	MaxFingerprints      = 64
	maxCrashFingerprints = 512
)

// Ledger decides what is quarantined, from the crashes and the answers that it is given.
//
// Load: requests of which no two are alike share one part that ends each engine which
// begins to answer them, at several VMs; sound ones share their other parts. Engines also
// end by themselves, with popular parts under way at each.
type Ledger struct {
	suspects    *simplelru.LRU[Fingerprint, *record]
	quarantines *simplelru.LRU[Fingerprint, *record]
	answers     *simplelru.LRU[Fingerprint, answer]
	ends        *simplelru.LRU[processKey, *end]
	// suspected holds the suspects that VMs are asked about, dueAt when the next of them is
	// to be quarantined, as of dueGeneration.
	suspected     map[Fingerprint]*record
	dueAt         time.Time
	dueGeneration uint64
	// generation counts the changes of crashes and answers.
	generation uint64
	// changed holds the fingerprints whose rows have changed since DrainChanges.
	changed map[Fingerprint]struct{}
}

// NewLedger returns a Ledger without crashes.
func NewLedger() *Ledger {
	l := &Ledger{suspected: make(map[Fingerprint]*record), changed: make(map[Fingerprint]struct{})}
	onEvict := func(f Fingerprint, r *record) {
		delete(l.suspected, f)
		if !r.suspectAt.IsZero() {
			l.changed[f] = struct{}{}
		}
	}
	l.suspects = newLRU(maxSuspects, onEvict)
	l.quarantines = newLRU(maxQuarantines, onEvict)
	l.answers = newLRU[Fingerprint, answer](maxAnswers, nil)
	l.ends = newLRU[processKey, *end](maxEnds, nil)
	return l
}

func newLRU[K comparable, V any](size int, onEvict func(K, V)) *simplelru.LRU[K, V] {
	cache, err := simplelru.NewLRU(size, onEvict)
	if err != nil {
		panic(fmt.Sprintf("create LRU cache of size %d: %v", size, err))
	}
	return cache
}

// RecordCrash counts a crash against the fingerprints of a request.
func (l *Ledger) RecordCrash(now time.Time, c Crash) {
	c.Fingerprints = c.Fingerprints[:min(len(c.Fingerprints), MaxFingerprints)]
	e := l.recordEnd(c)
	for _, f := range c.Fingerprints {
		l.recordCrash(now, f, crash{process: c.Process, weights: c.Weights, sentAt: c.SentAt, at: c.At, end: e})
	}
	l.generation++
	// Which of them the crash counts against depends on the others.
	for _, f := range c.Fingerprints {
		if r := l.find(f); r != nil {
			l.update(now, f, r)
		}
	}
}

func (l *Ledger) recordCrash(now time.Time, f Fingerprint, c crash) {
	if a, ok := l.answers.Peek(f); ok && a.refutes(c) {
		return
	}
	r := l.find(f)
	if r == nil {
		r = &record{}
		l.suspects.Add(f, r)
	}
	r.usedAt = now
	r.expire(now)
	r.add(c)
	if r.trials.recordCrash(now, c) {
		l.changed[f] = struct{}{} // clients are told the time of the next trial
	}
	if c.at.After(r.lastAt) {
		r.lastAt = c.at
	}
}

// find returns the record of a fingerprint and marks it as used, nil if there is none.
func (l *Ledger) find(f Fingerprint) *record {
	if r, ok := l.quarantines.Get(f); ok {
		return r
	}
	r, _ := l.suspects.Get(f)
	return r
}

// RecordAnswer records the complete response to a request with a fingerprint. It refutes
// the crashes before, and can make others a likelier cause of the ones after.
func (l *Ledger) RecordAnswer(now time.Time, f Fingerprint, at time.Time, weights uint64) {
	a := answer{at: at, weights: weights}
	if known, ok := l.answers.Get(f); !ok || known.at.Before(at) {
		l.answers.Add(f, a)
	}
	r := l.find(f)
	if r == nil {
		return
	}
	l.generation++
	r.crashes = slices.DeleteFunc(r.crashes, a.refutes)
	if !at.Before(r.inheritedAt) {
		r.inherited = 0
	}
	if !r.quarantinedAt.IsZero() && !l.isGuilty(f, r) {
		r.quarantinedAt = time.Time{}
		l.move(f, r)
	}
	l.update(now, f, r)
}

// answered returns the latest answer to a request with a fingerprint, false if there is
// none.
func (l *Ledger) answered(f Fingerprint) (answer, bool) { return l.answers.Peek(f) }

// update moves a record to what its strikes make it.
func (l *Ledger) update(now time.Time, f Fingerprint, r *record) {
	switch {
	case r.strikes() == 0:
		l.remove(f)
	case !r.isSuspect():
		if !r.suspectAt.IsZero() {
			r.suspectAt, r.quarantinedAt = time.Time{}, time.Time{}
			l.move(f, r)
		}
	case r.suspectAt.IsZero():
		r.suspectAt = now
		l.move(f, r)
	}
	l.advance(now, f, r)
}

// advance quarantines a suspect once VMs have had the time to report answers.
func (l *Ledger) advance(now time.Time, f Fingerprint, r *record) {
	if at := l.quarantineAt(f, r); at.IsZero() || now.Before(at) {
		return
	}
	r.quarantinedAt = now
	r.trials.start(now)
	l.move(f, r)
}

// quarantineAt returns when a suspect is to be quarantined, zero if it is not.
func (l *Ledger) quarantineAt(f Fingerprint, r *record) time.Time {
	if r.suspectAt.IsZero() || !r.quarantinedAt.IsZero() || !l.isGuilty(f, r) {
		return time.Time{}
	}
	return r.suspectAt.Add(answerWait)
}

func (l *Ledger) move(f Fingerprint, r *record) {
	l.changed[f] = struct{}{}
	l.quarantines.Remove(f)
	l.suspects.Remove(f)
	if !r.quarantinedAt.IsZero() {
		l.quarantines.Add(f, r)
		return
	}
	l.suspects.Add(f, r)
	if !r.suspectAt.IsZero() {
		l.suspected[f] = r
	}
}

func (l *Ledger) remove(f Fingerprint) {
	l.quarantines.Remove(f) // marks the change
	l.suspects.Remove(f)
}

// Advance quarantines the suspects whose time has come and permits trials. It returns when
// it is to be called again at the latest, zero for no such time.
func (l *Ledger) Advance(now time.Time) time.Time {
	next := l.advanceSuspects(now)
	for _, f := range l.quarantines.Keys() {
		r, _ := l.quarantines.Peek(f)
		if now.Sub(r.usedAt) > quarantineTTL {
			l.remove(f)
			continue
		}
		if l.isFewest(now, r.trials.demanded) && r.trials.advance(now) {
			l.changed[f] = struct{}{}
		}
		next = earliest(next, r.trials.nextAt(now))
	}
	return next
}

// advanceSuspects quarantines the suspects whose time has come and returns when the next
// one's does.
func (l *Ledger) advanceSuspects(now time.Time) time.Time {
	if l.dueGeneration == l.generation && (l.dueAt.IsZero() || now.Before(l.dueAt)) {
		return l.dueAt
	}
	l.dueGeneration, l.dueAt = l.generation, time.Time{}
	for f, r := range l.suspected {
		l.advance(now, f, r)
		l.dueAt = earliest(l.dueAt, l.quarantineAt(f, r))
	}
	return l.dueAt
}

// earliest returns the earlier of two times; zero is none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Adopt quarantines what another ledger has quarantined. Its own
// crashes and answers go before.
func (l *Ledger) Adopt(now time.Time, row Row) {
	if a, ok := l.answers.Peek(row.Fingerprint); ok && !a.at.Before(row.LastAt) {
		return
	}
	r := l.find(row.Fingerprint)
	if r == nil {
		r = &record{}
	}
	if !r.quarantinedAt.IsZero() {
		return
	}
	l.generation++
	r.inherited, r.inheritedAt = quarantineStrikes, row.LastAt
	r.suspectAt, r.quarantinedAt, r.usedAt = now, now, now
	if row.LastAt.After(r.lastAt) {
		r.lastAt = row.LastAt
	}
	r.trials.resume(row)
	l.move(row.Fingerprint, r)
}

// IsQuarantined reports whether requests with a fingerprint are to be refused.
func (l *Ledger) IsQuarantined(f Fingerprint) bool { return l.quarantines.Contains(f) }

// Strikes returns the number of strikes against a fingerprint, or of crashes that are apart
// if these are more, and the upstreams of its crashes.
func (l *Ledger) Strikes(f Fingerprint) (strikes int, upstreams []string) {
	r := l.peek(f)
	if r == nil {
		return 0, nil
	}
	for _, c := range r.crashes {
		upstreams = append(upstreams, c.process.Upstream)
	}
	return max(r.strikes(), r.spread()), upstreams
}
