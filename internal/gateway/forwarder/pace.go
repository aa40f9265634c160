package forwarder

import (
	"net/http"
	"time"
)

// paceGain is the weight of one request in the moving averages of a pace.
const paceGain = 0.1

// pace holds moving averages of the times that requests of one route take at upstreams.
type pace struct {
	// firstEvent is the time until the first event, hold that until the end.
	firstEvent, hold time.Duration
}

func (p *pace) observe(firstEvent, hold time.Duration) {
	if p.hold == 0 {
		p.firstEvent, p.hold = firstEvent, hold
		return
	}
	p.firstEvent += time.Duration(paceGain * float64(firstEvent-p.firstEvent))
	p.hold += time.Duration(paceGain * float64(hold-p.hold))
}

// recordPace records the time of the latest attempt if the upstream answered it. Failures
// are left out, since quick ones would make the wait for others look short.
func (x *exchange) recordPace(now time.Time, q *waitQueue) {
	if s := x.upstreamResponse.status; s == 0 || s >= http.StatusInternalServerError {
		return
	}
	firstEvent := now
	if x.firstByteAt.After(x.sentAt) {
		firstEvent = x.firstByteAt
	}
	q.all.observe(firstEvent.Sub(x.sentAt), now.Sub(x.sentAt))
	q.paceOf(x.route.Name).observe(firstEvent.Sub(x.sentAt), now.Sub(x.sentAt))
}

// paceOf returns the pace of a route. Routes are bounded by the configuration.
func (q *waitQueue) paceOf(route string) *pace {
	p, ok := q.paces[route]
	if !ok {
		p = &pace{}
		q.paces[route] = p
	}
	return p
}
