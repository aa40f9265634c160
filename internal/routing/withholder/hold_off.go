package withholder

import (
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
)

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

// holdOff is the time in which an upstream wants no requests. It outlasts a restart under
// the same ID, since responses do not state which process has requested it.
type holdOff struct {
	// receivedAt is when the latest request of it was received.
	receivedAt time.Time
	// until is the end of the longest hold-off.
	until time.Time
	// allowance is the number of requests that may be sent after the end of the
	// hold-off, accepted the number of those that were accepted.
	allowance int
	accepted  int
	// resendAt is when a request may be sent whatever the allowance.
	resendAt time.Time
}

// extend extends the hold-off to a time. It returns false if the current one ends no
// earlier.
func (h *holdOff) extend(until time.Time) bool {
	if !until.After(h.until) {
		return false
	}
	h.until, h.resendAt = until, time.Time{}
	h.allowance, h.accepted = 1, 0
	return true
}

// access returns the access to the process at a time.
func (h *holdOff) access(now time.Time) Access {
	switch {
	case now.Before(h.until):
		return Held
	case !h.paced(now) || h.allowance > 0 || !h.resendAt.IsZero() && !now.Before(h.resendAt):
		return Open
	}
	return Paced
}

// paced reports whether the hold-off ended recently, so that the number of
// requests is limited.
func (h *holdOff) paced(now time.Time) bool {
	return h.accepted < unpacedAfter && now.Before(h.until.Add(pacedPeriod))
}

// recordSent counts a request that is sent.
func (h *holdOff) recordSent(now time.Time) {
	if !h.paced(now) {
		return
	}
	h.allowance = max(h.allowance-1, 0)
	h.resendAt = now.Add(resendInterval)
}

// recordAccepted counts a request that was accepted, unless it was sent before the end
// of the hold-off.
func (h *holdOff) recordAccepted(now, sentAt time.Time) {
	if sentAt.Before(h.until) || !h.paced(now) {
		return
	}
	h.accepted++
	h.allowance += sendsPerAccepted
}

// recordHoldOff records a response in which i requests a hold-off.
func (w *Withholder) recordHoldOff(now time.Time, i Incarnation, requested time.Duration) []Change {
	h := w.holdOffs[i.key()]
	if h == nil {
		h = &holdOff{}
		add(w.holdOffs, i.key(), h)
	}
	h.receivedAt = now
	granted := min(requested, w.cfg.MaxHoldOff)
	if !h.extend(now.Add(granted)) {
		return nil
	}
	changes := []Change{{HeldOff, i, h.until}}
	if granted < requested {
		changes = append(changes, Change{HoldOffCapped, i, h.until})
	}
	return changes
}

// holdOffOf returns the latest hold-off of u, nil if there is none.
func (w *Withholder) holdOffOf(u *registrar.Upstream) *holdOff {
	return w.holdOffs[newIncarnation(u).key()]
}

// recordedAt implements dated.
func (h *holdOff) recordedAt() time.Time { return h.receivedAt }
