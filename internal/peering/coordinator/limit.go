package coordinator

import (
	"errors"
	"fmt"
	"math"
	"time"

	"gentianstep.example/gentianstep/internal/routing/throttler"
)

// maxLimits bounds the limits and the grants of one message.
const maxLimits = 4096

// Limit is what responses of an upstream say about its limit. Times are ages, since clocks
// differ.
type Limit struct {
	Upstream string `cbor:"1,keyasint"`
	// StartedMillis is the start of its process in Unix milliseconds, 0 if unknown.
	StartedMillis int64 `cbor:"2,keyasint,omitempty"`
	// Limited is false if the limit has ended.
	Limited   bool    `cbor:"3,keyasint,omitempty"`
	PerSecond float64 `cbor:"4,keyasint,omitempty"`
	// SentMillis and Millis are how long ago the request was sent and its response received.
	SentMillis int64 `cbor:"5,keyasint,omitempty"`
	Millis     int64 `cbor:"6,keyasint,omitempty"`
	// Wanted is the number of requests that the VM would send now; only in reports.
	Wanted int `cbor:"7,keyasint,omitempty"`
}

// Grant lets a VM send a number of requests to an upstream with a limit.
type Grant struct {
	Upstream      string `cbor:"1,keyasint"`
	StartedMillis int64  `cbor:"2,keyasint,omitempty"`
	Requests      int    `cbor:"3,keyasint"`
}

// Head precedes the State in a message from the hub. It differs between VMs.
type Head struct {
	// Report is the number of the VM's last report that the message includes.
	Report uint64  `cbor:"1,keyasint,omitempty"`
	Grants []Grant `cbor:"2,keyasint,omitempty"`
	// Quotas are the grants of quotas.
	Quotas []QuotaGrant `cbor:"3,keyasint,omitempty"`
}

// Check returns an error if a grant is not valid.
func (h Head) Check() error {
	if len(h.Grants) > maxLimits {
		return fmt.Errorf("head: got %d grants, want at most %d", len(h.Grants), maxLimits)
	}
	for _, g := range h.Grants {
		if g.Upstream == "" || g.StartedMillis < 0 || g.Requests <= 0 {
			return errors.New("head: upstream, start or number of a grant is invalid")
		}
	}
	if err := checkQuotaGrants(h.Quotas); err != nil {
		return fmt.Errorf("head: %w", err)
	}
	return nil
}

// Limits is a VM's part in keeping the limits of upstreams.
type Limits interface {
	// LimitReports returns what has changed since the last call, or all for another hub, and
	// whether the VM uses its own share of the limits.
	LimitReports(all bool) (list []throttler.Report, alone bool)
	// ApplyLimits applies a message of the hub. reportedAt is when the report was sent that
	// the grants answer, zero if unknown.
	ApplyLimits(changes []throttler.Report, grants []throttler.Grant, reportedAt time.Time)
}

func newLimits(now time.Time, list []throttler.Report) []Limit {
	limits := make([]Limit, 0, len(list))
	for _, r := range list[:min(len(list), maxLimits)] {
		limits = append(limits, Limit{
			Upstream:      r.Upstream,
			StartedMillis: r.StartedMillis,
			Limited:       r.Limited,
			PerSecond:     r.PerSecond,
			SentMillis:    millisSince(now, r.SentAt),
			Millis:        millisSince(now, r.At),
			Wanted:        r.Wanted,
		})
	}
	return limits
}

// limitReports returns what a message received at a time states of limits.
func limitReports(now time.Time, list []Limit) []throttler.Report {
	reports := make([]throttler.Report, 0, len(list))
	for _, l := range list {
		reports = append(reports, throttler.Report{
			Process: throttler.Process{Upstream: l.Upstream, StartedMillis: l.StartedMillis},
			Statement: throttler.Statement{
				Stated:    true,
				Limited:   l.Limited,
				PerSecond: l.PerSecond,
				SentAt:    now.Add(-millis(l.SentMillis)),
				At:        now.Add(-millis(l.Millis)),
			},
			Wanted: l.Wanted,
		})
	}
	return reports
}

func throttlerGrants(list []Grant) []throttler.Grant {
	grants := make([]throttler.Grant, 0, len(list))
	for _, g := range list {
		grants = append(grants, throttler.Grant{Process: throttler.Process{Upstream: g.Upstream, StartedMillis: g.StartedMillis}, Requests: g.Requests})
	}
	return grants
}

func checkLimits(list []Limit) error {
	if len(list) > maxLimits {
		return fmt.Errorf("got %d limits, want at most %d", len(list), maxLimits)
	}
	for _, l := range list {
		if l.Upstream == "" || l.StartedMillis < 0 || l.Wanted < 0 || !(l.PerSecond >= 0) || math.IsInf(l.PerSecond, 0) {
			return fmt.Errorf("limit of upstream %q: start, rate or wanted requests are out of range", l.Upstream)
		}
		if err := checkMillis(l.SentMillis, l.Millis); err != nil {
			return fmt.Errorf("limit of upstream %q: %w", l.Upstream, err)
		}
	}
	return nil
}

// applyLimits applies what a VM has reported of limits. The caller must hold h.mu.
func (h *Hub) applyLimits(now time.Time, s *session, r Report) {
	h.limits.AddVM(now, s, r.Node, r.Alone)
	for _, r := range limitReports(now, r.Limits) {
		h.limits.Record(now, s, r)
	}
	for _, u := range r.Quotas {
		h.limits.RecordQuota(now, s, u.report())
	}
}

// grantLimits hands the requests that are due to the sessions, and reports whether there
// are any. The caller must hold h.mu.
func (h *Hub) grantLimits(now time.Time) bool {
	h.updateQuotas(now)
	if h.limits.Empty() {
		return false
	}
	if h.cfg.Fleet != nil {
		h.limits.SetFleet(now, h.cfg.Fleet())
	}
	grants, next := h.limits.Advance(now)
	for _, g := range grants {
		s := g.VM
		if len(s.grants) < maxLimits {
			s.grants = append(s.grants, Grant{g.Upstream, g.StartedMillis, g.Requests})
		}
	}
	if !next.IsZero() {
		h.limitTimer.reset(max(next.Sub(now), minPushInterval), h.signal)
	}
	return h.grantQuotas(now) || len(grants) > 0
}

// wakeTimer calls a function once after a time. The zero value is stopped.
type wakeTimer struct{ timer *time.Timer }

// reset replaces the time after which wake is called. wake is the same in each call.
func (w *wakeTimer) reset(d time.Duration, wake func()) {
	if w.timer == nil {
		w.timer = time.AfterFunc(d, wake)
		return
	}
	w.timer.Reset(d)
}
