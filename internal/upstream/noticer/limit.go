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
	// limitOwn and limitHub are the logged sources of a change: a response that this VM has
	// received, and another VM.
	limitOwn = "response"
	limitHub = "hub"
)

// recordLimit applies what a notice says about the limit of u. It returns the log line of
// a change, nil if there is none or if changes are too frequent. The caller holds n.mu.
func (n *Noticer) recordLimit(now time.Time, u *registrar.Upstream, notice withholder.Notice) *logrus.Entry {
	s := notice.Limit
	s.SentAt, s.At = notice.SentAt, now
	p := throttler.ProcessOf(u)
	if !n.throttler.Record(now, p, s) {
		return nil
	}
	return n.limitLine(now, p, limitOwn)
}

// limitLine returns the log line of a change of a limit, nil if changes are too frequent.
// The caller holds n.mu.
func (n *Noticer) limitLine(now time.Time, p throttler.Process, source string) *logrus.Entry {
	n.cfg.Meter.Count(meter.UpstreamNotices, eventLimit, 1)
	if now.Before(n.limitLogAt) {
		return nil
	}
	n.limitLogAt = now.Add(limitLogInterval)
	perSecond, statedAt, limited := n.throttler.Limit(p)
	fields := logrus.Fields{
		"event":      eventLimit,
		"upstream":   p.Upstream,
		"started_ms": p.StartedMillis,
		"source":     source,
		"limited":    limited,
	}
	if limited {
		fields["per_second"], fields["age_ms"] = perSecond, now.Sub(statedAt).Milliseconds()
	}
	return n.cfg.Log.WithFields(fields)
}

// MayRequest reports whether u may get a request that any other upstream could serve.
func (n *Noticer) MayRequest(u *registrar.Upstream) bool {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.withholder.Access(now, u) == withholder.Open && n.throttler.MaySend(now, throttler.ProcessOf(u))
}

// LimitShare returns this VM's even share of the limit of u in requests a second, 0 if it
// has none.
func (n *Noticer) LimitShare(u *registrar.Upstream) float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.throttler.EvenShare(throttler.ProcessOf(u))
}

// SetFleet sets the VMs that share the limits of upstreams.
func (n *Noticer) SetFleet(f throttler.Fleet) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.throttler.SetFleet(time.Now(), f)
}

// LimitReports returns the changes of limits since the last call for the hub, or all limits,
// and whether this VM uses its own share of them.
func (n *Noticer) LimitReports(all bool) (list []throttler.Report, alone bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.throttler.Reports(all), n.throttler.Alone(time.Now())
}

// ApplyLimits applies a message of the hub: limits that have changed, and what this VM may
// send. reportedAt is when its report was sent that the grants answer.
func (n *Noticer) ApplyLimits(changes []throttler.Report, grants []throttler.Grant, reportedAt time.Time) {
	now := time.Now()
	n.mu.Lock()
	n.throttler.ConfirmHub(now, reportedAt)
	var lines []*logrus.Entry
	for _, c := range changes {
		if !n.throttler.ApplyHub(now, c.Process, c.Statement) {
			continue
		}
		if line := n.limitLine(now, c.Process, limitHub); line != nil {
			lines = append(lines, line)
		}
	}
	for _, g := range grants {
		n.throttler.AddGrant(now, g, reportedAt)
	}
	onChange := n.onChange
	n.mu.Unlock()
	for _, line := range lines {
		line.Info("limit of upstream")
	}
	if len(changes)+len(grants) > 0 {
		onChange("")
	}
}

// Limit returns the limit of u in requests a second and the time since it was stated,
// false if it has none.
func (n *Noticer) Limit(now time.Time, u *registrar.Upstream) (perSecond float64, age time.Duration, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	perSecond, statedAt, ok := n.throttler.Limit(throttler.ProcessOf(u))
	return perSecond, now.Sub(statedAt), ok
}
