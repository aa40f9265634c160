package retrier

import "time"

// Outcome is the result of one attempt.
type Outcome struct {
	Result Result
	// SentAt is when the attempt was sent.
	SentAt time.Time
}

// RecordOutcome records the outcome of an attempt. A success must be reported
// at the first byte of an answer, so that a long stream does not delay the
// recovery of the upstream. Outcomes of attempts sent before the latest failure
// are ignored.
func (r *Retrier) RecordOutcome(now time.Time, upstream string, outcome Outcome) {
	rec := r.records[upstream]
	if rec != nil && outcome.SentAt.Before(rec.failedAt) {
		return
	}
	switch outcome.Result {
	case Succeeded:
		r.recover(upstream)
	case Failed:
		r.startCooldown(now, upstream, outcome.SentAt)
	case Unauthorised:
		r.ensureRecord(upstream).excluded = true
	case Unrelated:
		r.releaseProbe(rec)
	}
}

// ensureRecord returns the record of an upstream, created if absent.
func (r *Retrier) ensureRecord(upstream string) *healthRecord {
	rec, ok := r.records[upstream]
	if !ok {
		rec = &healthRecord{}
		r.records[upstream] = rec
	}
	return rec
}

// recover makes an upstream healthy unless it refused the credentials.
func (r *Retrier) recover(upstream string) {
	rec := r.records[upstream]
	if rec == nil || rec.excluded {
		return
	}
	delete(r.records, upstream)
}

// startCooldown starts a cooldown with exponential back-off: each failed probe
// doubles it, up to maxCooldownFactor. A failed attempt that was sent before
// the end of a cooldown, which happens while health is Unknown, does not extend
// it.
func (r *Retrier) startCooldown(now time.Time, upstream string, sentAt time.Time) {
	rec := r.ensureRecord(upstream)
	if sentAt.Before(rec.cooldownUntil) {
		return
	}
	factor := min(1<<min(rec.failures, maxCooldownFactor), maxCooldownFactor)
	cooldown := float64(r.policy.Cooldown.Std()) * float64(factor)
	cooldown *= 1 + cooldownJitter*r.rng.Float64()
	rec.failures++
	rec.failedAt = now
	rec.cooldownUntil = now.Add(time.Duration(cooldown))
	rec.probeUntil = time.Time{}
}

// releaseProbe allows another probe after one whose result does not affect
// health.
func (r *Retrier) releaseProbe(rec *healthRecord) {
	if rec != nil {
		rec.probeUntil = time.Time{}
	}
}
