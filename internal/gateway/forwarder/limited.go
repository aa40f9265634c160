package forwarder

import (
	"math/rand/v2"
	"time"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// minLimitedRetryAfter is the shortest time after which a client comes back that was refused
// because of limits. Requests can be granted anew after a round trip to the hub.
const minLimitedRetryAfter = 200 * time.Millisecond

// returnSchedule spreads the clients that were refused because of the limits of a service,
// so that they come back at the rate at which this VM may send requests.
//
// Load: a thousand clients a second at upstreams that take twenty. All are told to come back
// within the second in which the next twenty are taken.
type returnSchedule struct {
	// nextAt is the time for the next client.
	nextAt time.Time
}

// reserve returns the time at which a client comes back, false if that is after latest.
func (s *returnSchedule) reserve(now, latest time.Time, perSecond float64) (time.Time, bool) {
	if perSecond <= 0 {
		return time.Time{}, false
	}
	interval := time.Duration(min(float64(time.Second)/perSecond, float64(time.Hour)))
	at := s.nextAt
	if earliest := now.Add(minLimitedRetryAfter); at.Before(earliest) {
		at = earliest.Add(rand.N(interval))
	}
	if at.After(latest) {
		return time.Time{}, false
	}
	s.nextAt = at.Add(interval)
	return at, true
}

// refuseLimited returns the refusal of a request whose upstreams take no more requests of
// this VM for now, or nil if it should wait for one. The caller holds x.mu.
func (x *exchange) refuseLimited(now, soon time.Time) *classifier.Error {
	ahead := 0
	if q, ok := x.queues[x.service]; ok {
		ahead = len(q.waiters)
	}
	if now.Before(soon) && float64(ahead) <= x.access.LimitPerSecond*soon.Sub(now).Seconds() {
		x.requestUrgentReport() // asks the hub for requests
		return nil
	}
	err := classifier.New(classifier.Overloaded, "every upstream of %s has got as many requests as it takes", x.service)
	s := x.returns[x.service]
	if s == nil {
		s = &returnSchedule{}
		x.returns[x.service] = s
	}
	at, ok := s.reserve(now, x.deadline.Add(-minSendTime), x.access.LimitPerSecond)
	err.RetryAt, err.Final = at, !ok
	return err
}
