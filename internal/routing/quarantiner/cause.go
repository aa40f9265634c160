package quarantiner

import "slices"

const (
	// maxEnds bounds the ends of processes whose requests are kept, maxEndFingerprints the
	// fingerprints of one.
	maxEnds            = 512
	maxEndFingerprints = 1024
)

// processKey identifies a process, whatever the time zone of its start.
type processKey struct {
	upstream      string
	startedMillis int64
}

// end is the end of a process.
type end struct {
	// requests are the fingerprints of all requests under way, with the versions of their
	// weights.
	requests []requestPart
	// suspects and guilty are those among them that were never answered, as of a
	// generation.
	suspects, guilty []Fingerprint
	generation       uint64
}

type requestPart struct {
	fingerprint Fingerprint
	weights     uint64
}

// recordEnd adds the fingerprints of a crash to those of its process.
func (l *Ledger) recordEnd(c Crash) *end {
	key := processKey{c.Process.Upstream, c.Process.StartedAt.UnixMilli()}
	e, ok := l.ends.Get(key)
	if !ok {
		e = &end{}
		l.ends.Add(key, e)
	}
	for _, f := range c.Fingerprints {
		known := slices.ContainsFunc(e.requests, func(p requestPart) bool { return p.fingerprint == f })
		if len(e.requests) < maxEndFingerprints && !known {
			e.requests = append(e.requests, requestPart{f, c.Weights})
		}
	}
	return e
}

// isGuilty reports whether the crashes of a fingerprint suffice for its quarantine. Those
// that have a likelier cause don't count. As long as that is a suspect alone, that many
// crashes suffice as no upstream ends by chance.
func (l *Ledger) isGuilty(f Fingerprint, r *record) bool {
	if !r.isGuilty() {
		return false
	}
	open := record{inherited: r.inherited, crashes: l.unexplained(f, r, func(e *end) []Fingerprint { return e.suspects })}
	if len(open.crashes) == len(r.crashes) || open.isGuilty() {
		return true
	}
	open.crashes = l.unexplained(f, r, func(e *end) []Fingerprint { return e.guilty })
	return max(open.strikes(), open.spread()) >= quarantineSpread
}

// unexplained returns the crashes of a fingerprint for which no request under way at the
// same process has a likelier one.
func (l *Ledger) unexplained(f Fingerprint, r *record, causes func(*end) []Fingerprint) []crash {
	return slices.DeleteFunc(slices.Clone(r.crashes), func(c crash) bool {
		if !l.wasAnswered(f, c.weights) {
			return false
		}
		l.refresh(c.end)
		return slices.ContainsFunc(causes(c.end), func(other Fingerprint) bool { return other != f })
	})
}

// refresh updates the suspects of an end if crashes or answers were recorded since.
func (l *Ledger) refresh(e *end) {
	if e.generation == l.generation {
		return
	}
	e.generation, e.suspects, e.guilty = l.generation, nil, nil
	for _, p := range e.requests {
		r := l.peek(p.fingerprint)
		if r == nil || !r.isSuspect() || l.wasAnswered(p.fingerprint, p.weights) {
			continue
		}
		e.suspects = append(e.suspects, p.fingerprint)
		if r.isGuilty() {
			e.guilty = append(e.guilty, p.fingerprint)
		}
	}
}

// wasAnswered reports whether a request with a fingerprint has ever been answered on the
// same weights or newer ones. Upstreams crash under each request with the same content, so
// that one that was never answered is the likelier cause.
func (l *Ledger) wasAnswered(f Fingerprint, weights uint64) bool {
	a, ok := l.answers.Peek(f)
	return ok && a.weights >= weights
}

// peek returns the record of a fingerprint, nil if there is none.
func (l *Ledger) peek(f Fingerprint) *record {
	if r, ok := l.quarantines.Peek(f); ok {
		return r
	}
	r, _ := l.suspects.Peek(f)
	return r
}
