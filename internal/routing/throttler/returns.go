package throttler

import (
	"math/rand/v2"
	"time"
)

// minReturnAfter is the shortest time after which a client comes back that was refused
// because of limits. The hub can grant further requests after a round trip.
const minReturnAfter = 200 * time.Millisecond

// Returns spreads the clients that were refused because of limits, so that they come back
// at the rate at which a VM may send requests. The zero value is ready for use.
//
// Load: a thousand clients a second at upstreams that take twenty. If all come back when the next
// one is taken, nearly all are refused again.
type Returns struct {
	// nextAt is the time for the next client.
	nextAt time.Time
}

// Reserve returns the time at which a client comes back, false if that is after latest.
// perSecond is this VM's share of the limits.
func (s *Returns) Reserve(now, latest time.Time, perSecond float64) (time.Time, bool) {
	if perSecond <= 0 {
		return time.Time{}, false
	}
	interval := time.Duration(min(float64(time.Second)/perSecond, float64(time.Hour)))
	at := s.nextAt
	if earliest := now.Add(minReturnAfter); at.Before(earliest) {
		at = earliest.Add(rand.N(interval + 1))
	}
	if at.After(latest) {
		return time.Time{}, false
	}
	s.nextAt = at.Add(interval)
	return at, true
}
