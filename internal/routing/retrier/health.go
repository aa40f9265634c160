package retrier

import "time"

// Health is what is believed of an upstream.
type Health string

// Healths of an upstream.
const (
	Healthy Health = "healthy"
	// Cooling is left out until its cooldown ends.
	Cooling Health = "cooling"
	// Probe has cooled down; exactly one request tries it.
	Probe Health = "probe"
	// Probing waits for the outcome of its one probe.
	Probing Health = "probing"
	// Excluded refused the router's credentials; a new bundle ends that.
	Excluded Health = "excluded"
	// Unknown is what everyone is while too many are left out.
	Unknown Health = "unknown"
)

// Usable reports whether a request may be sent to an upstream of that health.
func (h Health) Usable() bool {
	return h == Healthy || h == Probe || h == Unknown
}

// maxCooldowns bounds the growth of repeated cooldowns, in multiples of the
// bundle's cooldown.
const maxCooldowns = 16

// record is the health of one upstream.
type record struct {
	// failures counts failures since the last success.
	failures int
	excluded bool
	// coolsUntil is zero for a healthy upstream.
	coolsUntil time.Time
	// probeUntil is when an unanswered probe is given up; zero without one.
	probeUntil time.Time
	// failedAt is when the present cooldown began.
	failedAt time.Time
}

func (r *record) health(now time.Time) Health {
	switch {
	case r == nil:
		return Healthy
	case r.excluded:
		return Excluded
	case r.coolsUntil.IsZero():
		return Healthy
	case now.Before(r.coolsUntil):
		return Cooling
	case now.Before(r.probeUntil):
		return Probing
	default:
		return Probe
	}
}
