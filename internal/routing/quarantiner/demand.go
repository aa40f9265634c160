package quarantiner

import (
	"slices"
	"time"
)

// RecordDemand records that a VM has refused a request with quarantined fingerprints. One
// with fewer of them than the latest trial that failed shows more, and waits for no delay.
func (l *Ledger) RecordDemand(now time.Time, vm string, fingerprints []Fingerprint) {
	for _, f := range fingerprints {
		if r, ok := l.quarantines.Get(f); ok {
			r.usedAt = now
			if len(fingerprints) < l.countQuarantined(r.trials.failedWith) {
				r.trials.hasten(now)
			}
			r.trials.recordDemand(now, vm, fingerprints)
		}
	}
}

func (l *Ledger) countQuarantined(list []Fingerprint) int {
	n := 0
	for _, f := range list {
		if l.quarantines.Contains(f) {
			n++
		}
	}
	return n
}

// isFewest reports whether no requests with any of the fingerprints have fewer quarantined
// ones.
func (l *Ledger) isFewest(now time.Time, demanded []Fingerprint) bool {
	return !slices.ContainsFunc(demanded, func(f Fingerprint) bool {
		r, ok := l.quarantines.Peek(f)
		return ok && r.trials.hasFewer(now, len(demanded))
	})
}
