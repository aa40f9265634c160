package withholder

import "time"

const (
	// sendsPerAccepted is the number of requests that may follow one that was
	// accepted after the end of a hold-off. The number of requests doubles with
	// each round trip.
	sendsPerAccepted = 2
	// unpacedAfter is the number of accepted requests after a hold-off from which
	// the number of requests is no longer limited.
	unpacedAfter = 16
	// resendInterval is the time after which another request may follow one that
	// got no response.
	resendInterval = 500 * time.Millisecond
	// pacedPeriod is the time after the end of a hold-off from which the number of
	// requests is no longer limited.
	pacedPeriod = 10 * time.Second
)

// record holds the notices of one incarnation.
type record struct {
	incarnation Incarnation
	// toldAt is when the latest notice was received.
	toldAt time.Time
	// drainUntil is the end of the drain period, zero unless the incarnation is
	// leaving.
	drainUntil time.Time
	// heard is true if another VM has stated the incarnation, so that its start time
	// is certain.
	heard bool
	// heldUntil is the end of the longest hold-off, zero if none was requested.
	heldUntil time.Time
	// allowance is the number of requests that may be sent after the end of the
	// hold-off, accepted the number of those that were accepted.
	allowance int
	accepted  int
	// resendAt is when a request may be sent whatever the allowance.
	resendAt time.Time
}

// holdOff extends the hold-off to a time. It returns false if the current one
// ends no earlier.
func (r *record) holdOff(until time.Time) bool {
	if !until.After(r.toldAt) || !until.After(r.heldUntil) {
		return false
	}
	r.heldUntil, r.resendAt = until, time.Time{}
	r.allowance, r.accepted = 1, 0
	return true
}

// endedBy reports whether other, which has the same ID, is a later process than
// the one that has sent the notices. One that was at the address well before the
// latest notice has sent it, although an outdated entry named an earlier start.
func (r *record) endedBy(other Incarnation) bool {
	sender := !r.heard && other.Address == r.incarnation.Address && other.StartedAt.Add(maxClockSkew).Before(r.toldAt)
	return !sender && r.incarnation.endedBy(other)
}

// access returns the access to the incarnation at a time.
func (r *record) access(now time.Time) Access {
	leaving := !r.drainUntil.IsZero()
	switch {
	case leaving && (!now.Before(r.drainUntil) || now.Before(r.heldUntil)):
		return Closed
	case leaving:
		return LastResort
	case now.Before(r.heldUntil):
		return Held
	case !r.paced(now) || r.allowance > 0 || !r.resendAt.IsZero() && !now.Before(r.resendAt):
		return Open
	}
	return Paced
}

// paced reports whether a hold-off ended recently, so that the number of
// requests is limited.
func (r *record) paced(now time.Time) bool {
	return !r.heldUntil.IsZero() && r.accepted < unpacedAfter && now.Before(r.heldUntil.Add(pacedPeriod))
}

// recordSent counts a request that is sent.
func (r *record) recordSent(now time.Time) {
	if !r.paced(now) {
		return
	}
	r.allowance = max(r.allowance-1, 0)
	r.resendAt = now.Add(resendInterval)
}

// recordAccepted counts a request that was accepted.
func (r *record) recordAccepted(now time.Time) {
	if now.Before(r.heldUntil) || !r.paced(now) {
		return
	}
	r.accepted++
	r.allowance += sendsPerAccepted
}
