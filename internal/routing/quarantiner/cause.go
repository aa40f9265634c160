package quarantiner

import "slices"

const (
	// maxEnds bounds the ends of processes whose requests are kept, maxEndFingerprints the
	// fingerprints of one.
	maxEnds            = 512
	maxEndFingerprints = 256
)

// processKey identifies a process, whatever the time zone of its start.
type processKey struct {
	upstream      string
	startedMillis int64
}

// end holds the fingerprints of all requests under which a process has ended.
type end struct {
	fingerprints []Fingerprint
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
		if len(e.fingerprints) < maxEndFingerprints && !slices.Contains(e.fingerprints, f) {
			e.fingerprints = append(e.fingerprints, f)
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
	open := record{inherited: r.inherited, crashes: l.unexplained(f, r, (*record).isSuspect)}
	if len(open.crashes) == len(r.crashes) || open.isGuilty() {
		return true
	}
	open.crashes = l.unexplained(f, r, (*record).isGuilty)
	return max(open.strikes(), open.spread()) >= quarantineSpread
}

// unexplained returns the crashes of a fingerprint for which no request under way at the
// same process has a likelier one.
func (l *Ledger) unexplained(f Fingerprint, r *record, counts func(*record) bool) []crash {
	return slices.DeleteFunc(slices.Clone(r.crashes), func(c crash) bool {
		return l.wasAnswered(f, c.weights) && slices.ContainsFunc(c.end.fingerprints, func(other Fingerprint) bool {
			return !l.wasAnswered(other, c.weights) && l.is(other, counts)
		})
	})
}

// wasAnswered reports whether a request with a fingerprint has ever been answered on the
// same weights or newer ones. Upstreams crash under each request with the same content, so
// that one that was never answered is the likelier cause.
func (l *Ledger) wasAnswered(f Fingerprint, weights uint64) bool {
	a, ok := l.answers.Peek(f)
	return ok && a.weights >= weights
}

// is reports whether the record of a fingerprint has a property.
func (l *Ledger) is(f Fingerprint, property func(*record) bool) bool {
	r, ok := l.quarantines.Peek(f)
	if !ok {
		r, ok = l.suspects.Peek(f)
	}
	return ok && property(r)
}
