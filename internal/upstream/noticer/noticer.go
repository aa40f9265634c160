// Package noticer applies what upstreams state about themselves in responses to
// all requests of this VM, and logs it.
package noticer

import (
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/routing/throttler"
	"gentianstep.example/gentianstep/internal/routing/withholder"
)

// ErrWithheld is returned for a request that was not sent because of a notice of
// its upstream.
var ErrWithheld = errors.New("upstream wants no requests")

// Labels of the metric for notices that change no state.
const (
	noticeIgnored  = "ignored"
	noticeWithheld = "withheld"
)

// ignoredLogInterval bounds the log lines for notices that cannot be decoded.
const ignoredLogInterval = 100 * time.Millisecond

// Config configures a Noticer.
type Config struct {
	Bounds withholder.Config
	Meter  *meter.Meter
	Log    *logrus.Entry
}

// Noticer is safe for concurrent use.
type Noticer struct {
	cfg Config

	mu         sync.Mutex
	withholder *withholder.Withholder
	throttler  *throttler.Throttler
	// limitLogAt is when the next change of a limit is logged, which upstreams may change
	// in each response.
	limitLogAt time.Time
	// onChange is called with the service of an upstream whose access has changed,
	// empty if it is not known.
	onChange func(service string)
	// ignoredLogAt is when the next notice that cannot be decoded is logged.
	ignoredLogAt time.Time
	// checkRequests has a buffer of one, so that sending never blocks a request.
	checkRequests chan struct{}
}

// New returns a Noticer without notices.
func New(cfg Config) *Noticer {
	return &Noticer{
		cfg:           cfg,
		withholder:    withholder.New(cfg.Bounds),
		throttler:     throttler.New(),
		onChange:      func(string) {},
		checkRequests: make(chan struct{}, 1),
	}
}

// SetOnChange sets a function that is called with the service of an upstream
// after a notice that has changed the access to it.
func (n *Noticer) SetOnChange(onChange func(service string)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onChange = onChange
}

// SetBounds replaces the bounds of further notices.
func (n *Noticer) SetBounds(bounds withholder.Config) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.withholder.SetConfig(bounds)
}

// Record applies the notice in a response to a request to u and returns the
// resulting changes.
func (n *Noticer) Record(u *registrar.Upstream, notice withholder.Notice) []withholder.Change {
	return n.record(u, notice, n.withholder.Record)
}

// RecordCheck applies the response of u to a check that was sent when u was its current
// entry, and returns the resulting changes.
func (n *Noticer) RecordCheck(u *registrar.Upstream, notice withholder.Notice) []withholder.Change {
	return n.record(u, notice, n.withholder.RecordCheck)
}

// record applies a notice by apply, which is a method of the withholder.
func (n *Noticer) record(u *registrar.Upstream, notice withholder.Notice, apply func(time.Time, *registrar.Upstream, withholder.Notice) []withholder.Change) []withholder.Change {
	now := time.Now()
	n.mu.Lock()
	changes := apply(now, u, notice)
	limitLine := n.recordLimit(now, u, notice)
	onChange := n.onChange
	logIgnored := notice.Err != nil && !now.Before(n.ignoredLogAt)
	if logIgnored {
		n.ignoredLogAt = now.Add(ignoredLogInterval)
	}
	n.mu.Unlock()
	if notice.Err != nil {
		n.cfg.Meter.Count(meter.UpstreamNotices, noticeIgnored, 1)
	}
	if logIgnored {
		n.cfg.Log.WithError(notice.Err).WithFields(logrus.Fields{
			"event":    "upstream_notice_ignored",
			"upstream": u.ID,
			"address":  u.Address.String(),
		}).Warn("ignored invalid notice of upstream")
	}
	n.logChanges(changes, u.Service)
	if limitLine != nil {
		limitLine.Info("limit of upstream")
	}
	if len(changes) > 0 || limitLine != nil {
		onChange(u.Service)
	}
	return changes
}

func (n *Noticer) logChanges(changes []withholder.Change, service string) {
	for _, c := range changes {
		n.cfg.Meter.Count(meter.UpstreamNotices, string(c.Type), 1)
		n.cfg.Log.WithFields(logrus.Fields{
			"event":      string(c.Type),
			"upstream":   c.Incarnation.ID,
			"address":    c.Incarnation.Address.String(),
			"started_ms": registrar.StartMillis(c.Incarnation.StartedAt),
			"until":      formatUntil(c.Until),
			"service":    service,
		}).Info("notice of upstream")
	}
}

// formatUntil returns the text of a time for the log, empty for the zero time.
func formatUntil(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339Nano)
}

// Admit returns ErrWithheld if no request may be sent to u now. It is called
// right before the first byte of each request. A last resort is a request that
// no other upstream can serve.
func (n *Noticer) Admit(u *registrar.Upstream, lastResort bool) error {
	now, p := time.Now(), throttler.ProcessOf(u)
	n.mu.Lock()
	admitted := n.throttler.MaySend(now, p) && n.withholder.Admit(now, u, lastResort) && n.throttler.Take(now, p)
	n.mu.Unlock()
	return n.admission(admitted)
}

// AdmitCall is like Admit for a call that takes no slot of u and does not count against
// its limit: one of this VM itself, or about a request that runs there.
func (n *Noticer) AdmitCall(u *registrar.Upstream, lastResort bool) error {
	n.mu.Lock()
	admitted := n.withholder.Admit(time.Now(), u, lastResort)
	n.mu.Unlock()
	return n.admission(admitted)
}

// AdmitProbe is like AdmitCall for a call that asks whether u is there. One that is
// leaving gets it too, since it shows the next process at the address.
func (n *Noticer) AdmitProbe(u *registrar.Upstream) error {
	n.mu.Lock()
	admitted := n.withholder.AdmitProbe(time.Now(), u)
	n.mu.Unlock()
	return n.admission(admitted)
}

// AdmitCheck is like AdmitProbe for a health check, which takes a slot of u and counts
// against its limit.
func (n *Noticer) AdmitCheck(u *registrar.Upstream) error {
	now, p := time.Now(), throttler.ProcessOf(u)
	n.mu.Lock()
	admitted := n.throttler.MaySend(now, p) && n.withholder.AdmitProbe(now, u) && n.throttler.Take(now, p)
	n.mu.Unlock()
	return n.admission(admitted)
}

func (n *Noticer) admission(admitted bool) error {
	if admitted {
		return nil
	}
	n.cfg.Meter.Count(meter.UpstreamNotices, noticeWithheld, 1)
	return ErrWithheld
}

// Unverified returns the upstreams that may have stated that they are leaving, unless an
// earlier process has.
func (n *Noticer) Unverified(list []*registrar.Upstream) []*registrar.Upstream {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.withholder.Empty() {
		return nil
	}
	now := time.Now()
	var unverified []*registrar.Upstream
	for _, u := range list {
		if n.withholder.Unverified(now, u) {
			unverified = append(unverified, u)
		}
	}
	return unverified
}

// CheckRequests signals that a request has found an unverified upstream.
func (n *Noticer) CheckRequests() <-chan struct{} { return n.checkRequests }

// HeldUntil returns the end of the hold-off of u, or the zero time if it has
// requested none.
func (n *Noticer) HeldUntil(u *registrar.Upstream) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.withholder.HeldUntil(u)
}

// IsOpen reports whether u may get calls of this VM itself, and any request that is within
// its limit.
func (n *Noticer) IsOpen(u *registrar.Upstream) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.withholder.Access(time.Now(), u) == withholder.Open
}

// Open returns the upstreams that may get calls of this VM itself. It returns list itself
// if that is all of them.
func (n *Noticer) Open(list []*registrar.Upstream) []*registrar.Upstream {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.withholder.Empty() {
		return list
	}
	now := time.Now()
	open := make([]*registrar.Upstream, 0, len(list))
	for _, u := range list {
		if n.withholder.Access(now, u) == withholder.Open {
			open = append(open, u)
		}
	}
	return open
}

// Split divides upstreams by their access. BackAt, Paced and Limited concern those for
// which usable returns true.
func (n *Noticer) Split(now time.Time, list []*registrar.Upstream, usable func(*registrar.Upstream) bool) Split {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.withholder.Empty() && n.throttler.Empty() {
		return Split{Open: list}
	}
	s := Split{Open: make([]*registrar.Upstream, 0, len(list))}
	for _, u := range list {
		n.addTo(&s, now, u, usable)
	}
	if s.Unverified {
		select {
		case n.checkRequests <- struct{}{}:
		default:
		}
	}
	return s
}

// addTo adds u to a Split. The caller holds n.mu.
func (n *Noticer) addTo(s *Split, now time.Time, u *registrar.Upstream, usable func(*registrar.Upstream) bool) {
	access := n.withholder.Access(now, u)
	if access != withholder.Open && !usable(u) {
		return
	}
	s.Unverified = s.Unverified || access != withholder.Open && n.withholder.Unverified(now, u)
	switch access {
	case withholder.Open:
		if n.mayTakeRequest(s, now, u, usable) {
			s.Open = append(s.Open, u)
		}
	case withholder.LastResort:
		if n.mayTakeRequest(s, now, u, usable) {
			s.addLastResort(u, n.withholder.DrainUntil(now, u))
		}
	case withholder.Paced:
		s.Paced = true
	case withholder.Held:
		s.addHeld(n.withholder.HeldUntil(u))
	case withholder.Closed:
	}
}

// mayTakeRequest reports whether a request to u is within its limit now. Otherwise it
// records the demand and adds u to s. The caller holds n.mu.
func (n *Noticer) mayTakeRequest(s *Split, now time.Time, u *registrar.Upstream, usable func(*registrar.Upstream) bool) bool {
	p := throttler.ProcessOf(u)
	if n.throttler.MaySend(now, p) {
		return true
	}
	if usable(u) {
		n.throttler.Want(p)
		s.Limited = append(s.Limited, u)
		s.LimitPerSecond += n.throttler.EvenShare(p)
	}
	return false
}
