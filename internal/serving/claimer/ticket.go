package claimer

import (
	"context"
	"time"

	"gentianstep.example/gentianstep/internal/platform/storer"
)

// Ticket allows its holder to send the claimed request until the deadline.
type Ticket struct {
	claimer  *Claimer
	key      string
	version  storer.Version
	deadline time.Time
}

// Valid reports whether the holder may still start to send. It compares both
// the monotonic and the wall clock, because only the wall clock advances while the
// VM is suspended.
func (t *Ticket) Valid(now time.Time) bool {
	return now.Before(t.deadline) && now.Round(0).Before(t.deadline.Round(0))
}

// Release deletes the claim, so that another request can claim the key. The holder
// must not have sent its request and must not send it later. If the deletion fails,
// the claim remains until its lease expires.
func (t *Ticket) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := t.claimer.cfg.Store.Delete(ctx, t.key, t.version); err != nil {
		t.claimer.cfg.Log.WithError(err).WithField("event", "claim_release").Warn("failed to delete claim, it remains until its lease expires")
	}
}
