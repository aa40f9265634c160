package leaser

import "time"

// Holding is the right to place models in a region until its deadline.
type Holding struct {
	// Fencing is the store's revision at which the lease was taken. It rises
	// with each holder.
	Fencing  uint64
	Deadline time.Time
	// UncheckedAfter is when orders of an earlier holder have run out, so that
	// upstreams that ignore fencing numbers may be given orders.
	UncheckedAfter time.Time
	// endsAtBoot is the deadline by the clock that counts the time for which the
	// VM was suspended; zero is none.
	endsAtBoot time.Duration
}

// Valid reports whether the holder may act at now. The deadline counts by the
// clock that cannot jump, by the one that counts suspensions and by the wall
// clock, so that neither a pause of the whole VM nor a clock set back prolongs
// it.
func (h Holding) Valid(now time.Time) bool {
	if h.endsAtBoot > 0 && sinceBoot() >= h.endsAtBoot {
		return false
	}
	return h.Fencing > 0 && now.Before(h.Deadline) && now.Round(0).Before(h.Deadline.Round(0))
}
