package noticer

import (
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/routing/throttler"
	"gentianstep.example/gentianstep/internal/routing/withholder"
)

const (
	// limitLogInterval bounds the log lines for changes of limits.
	limitLogInterval = 100 * time.Millisecond
	// eventLimit is the logged event of a change and its label in the metric.
	eventLimit = "upstream_limit"
)

// recordLimit applies what a notice says about the limit of u. It returns the log line of
// a change, nil if there is none or if changes are too frequent. The caller holds n.mu.
func (n *Noticer) recordLimit(now time.Time, u *registrar.Upstream, notice withholder.Notice) *logrus.Entry {
	s := notice.Limit
	s.SentAt, s.At = notice.SentAt, now
	p := throttler.ProcessOf(u)
	if !n.throttler.Record(p, s) {
		return nil
	}
	n.cfg.Meter.Count(meter.UpstreamNotices, eventLimit, 1)
	if now.Before(n.limitLogAt) {
		return nil
	}
	n.limitLogAt = now.Add(limitLogInterval)
	return n.limitLine(u, p)
}

// limitLine returns the log line of the limit of u. The caller holds n.mu.
func (n *Noticer) limitLine(u *registrar.Upstream, p throttler.Process) *logrus.Entry {
	perSecond, _, limited := n.throttler.Limit(p)
	return n.cfg.Log.WithFields(logrus.Fields{
		"event":      eventLimit,
		"upstream":   u.ID,
		"address":    u.Address.String(),
		"started_ms": p.StartedMillis,
		"service":    u.Service,
		"limited":    limited,
		"per_second": perSecond,
	})
}

// Limit returns the limit of u in requests a second and the time since it was stated,
// false if it has none.
func (n *Noticer) Limit(now time.Time, u *registrar.Upstream) (perSecond float64, age time.Duration, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	perSecond, statedAt, ok := n.throttler.Limit(throttler.ProcessOf(u))
	return perSecond, now.Sub(statedAt), ok
}
