package forwarder

import (
	"time"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/routing/throttler"
)

// refuseLimited returns the refusal of a request whose upstreams take no more requests of
// this VM for now, or nil if it should wait for one. The caller holds x.mu.
func (x *exchange) refuseLimited(now, soon time.Time) *classifier.Error {
	ahead := 0
	if q, ok := x.queues[x.service]; ok {
		ahead = len(q.waiters)
	}
	if now.Before(soon) && float64(ahead) <= x.access.LimitPerSecond*soon.Sub(now).Seconds() {
		x.RequestUrgentReport() // carries the demand to the hub
		return nil
	}
	err := classifier.New(classifier.Overloaded, "every upstream of %s has got as many requests as it takes", x.service)
	s := x.returns[x.service]
	if s == nil {
		s = &throttler.Returns{}
		x.returns[x.service] = s
	}
	at, ok := s.Reserve(now, x.deadline.Add(-minSendTime), x.access.LimitPerSecond)
	err.RetryAt, err.Final = at, !ok
	return err
}
