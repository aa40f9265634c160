package retrier

import "time"

// Health is the state of an upstream's circuit breaker.
type Health string

// States of an upstream.
const (
	Healthy Health = "healthy"
	// Cooling means that the upstream is excluded until its cooldown ends.
	Cooling Health = "cooling"
	// Probe means that the cooldown is over and one request may be sent as a
	// probe.
	Probe Health = "probe"
	// Probing means that the outcome of the probe is awaited.
	Probing Health = "probing"
	// Excluded means that the upstream refused the router's credentials. It
	// lasts until the next bundle.
	Excluded Health = "excluded"
	// Unknown is the health of every candidate while too many are not healthy.
	Unknown Health = "unknown"
)

// Usable reports whether a request may be sent to an upstream with health h.
func (h Health) Usable() bool {
	return h == Healthy || h == Probe || h == Unknown
}

// maxCooldownFactor bounds the exponential back-off of cooldowns, as a multiple
// of the bundle's cooldown.
const maxCooldownFactor = 16

// healthRecord is the state from which the health of one upstream is derived.
type healthRecord struct {
	// failures is the number of cooldowns since the last success.
	failures int
	excluded bool
	// cooldownUntil is the end of the latest cooldown, zero if there was none.
	cooldownUntil time.Time
	// probeUntil is when a probe without an outcome expires, zero without a
	// probe.
	probeUntil time.Time
	// failedAt is the start of the latest cooldown.
	failedAt time.Time
}

func (r *healthRecord) health(now time.Time) Health {
	switch {
	case r == nil:
		return Healthy
	case r.excluded:
		return Excluded
	case r.cooldownUntil.IsZero():
		return Healthy
	case now.Before(r.cooldownUntil):
		return Cooling
	case now.Before(r.probeUntil):
		return Probing
	default:
		return Probe
	}
}
