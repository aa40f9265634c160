package claimer

import (
	"context"
	"time"
)

// Ticket is a claim that its holder made.
type Ticket struct {
	claimer  *Claimer
	key      string
	revision uint64
	deadline time.Time
}

// InForce reports whether the holder may still begin to send, by the
// monotonic clock as well as by the wall clock, which also runs while the VM
// is suspended.
func (t *Ticket) InForce(now time.Time) bool {
	return now.Before(t.deadline) && now.Round(0).Before(t.deadline.Round(0))
}

// Release removes the claim of a holder that has sent nothing and will not. A
// claim that cannot be removed stays until it expires.
func (t *Ticket) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := t.claimer.cfg.Store.Delete(ctx, t.key, t.revision); err != nil {
		t.claimer.cfg.Log.WithError(err).WithField("event", "claim_release").Warn("claim stays")
	}
}
