package retrier

import "time"

// Outcome is the result of one attempt.
type Outcome struct {
	Result Result
	// SentAt is when the attempt was sent.
	SentAt time.Time
}

// Report notes the outcome of an attempt. A success is reported with the first
// byte of an answer, so that a long stream does not hold back the upstream.
func (r *Retrier) Report(now time.Time, upstream string, outcome Outcome) {
	rec := r.records[upstream]
	if rec != nil && outcome.SentAt.Before(rec.failedAt) {
		return
	}
	switch outcome.Result {
	case Succeeded:
		r.recover(upstream)
	case Failed:
		r.fail(now, upstream, outcome.SentAt)
	case Unauthorised:
		r.touch(upstream).excluded = true
	case Unrelated:
		r.release(rec)
	}
}

func (r *Retrier) touch(upstream string) *record {
	rec, ok := r.records[upstream]
	if !ok {
		rec = &record{}
		r.records[upstream] = rec
	}
	return rec
}

func (r *Retrier) recover(upstream string) {
	rec := r.records[upstream]
	if rec == nil || rec.excluded {
		return
	}
	delete(r.records, upstream)
}

// fail starts a cooldown. Each failed probe doubles it up to its bound; an
// attempt sent during a cooldown, while health is unknown, leaves it as it is.
func (r *Retrier) fail(now time.Time, upstream string, sentAt time.Time) {
	rec := r.touch(upstream)
	if sentAt.Before(rec.coolsUntil) {
		return
	}
	factor := min(1<<min(rec.failures, maxCooldowns), maxCooldowns)
	cooldown := float64(r.policy.Cooldown.Std()) * float64(factor)
	cooldown *= 1 + cooldownJitter*r.rng.Float64()
	rec.failures++
	rec.failedAt = now
	rec.coolsUntil = now.Add(time.Duration(cooldown))
	rec.probeUntil = time.Time{}
}

// release frees the place of a probe that ended without telling anything.
func (r *Retrier) release(rec *record) {
	if rec != nil {
		rec.probeUntil = time.Time{}
	}
}
