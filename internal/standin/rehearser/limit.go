package rehearser

import (
	"fmt"
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/throttler"
	"gentianstep.example/gentianstep/internal/testing/windower"
)

// Limit makes a share of the engines state for a time how many requests a second they take
// from all VMs together.
type Limit struct {
	AtMS int `json:"at_ms"`
	// EveryMS is the interval between repetitions, 0 for none.
	EveryMS   int     `json:"every_ms"`
	ForMS     int     `json:"for_ms"`
	Share     float64 `json:"share"`
	PerSecond float64 `json:"per_second"`
}

func (l Limit) validate() error {
	if l.Share <= 0 || l.Share > 1 || l.EveryMS < 0 || l.ForMS <= 0 || l.PerSecond < 0 {
		return fmt.Errorf("share, interval, time or rate of limit: %w", errOutOfRange)
	}
	return nil
}

// engineLimit is the limit that an engine states, and what has reached it since.
type engineLimit struct {
	perSecond float64
	until     time.Duration
	// statedAt is when the first response with the limit was received, and toldAt when each
	// VM received its first one.
	statedAt time.Duration
	toldAt   map[int]time.Duration
	window   windower.Window
}

// sharing is the exchange of limits between VMs, in place of the hub.
type sharing struct {
	throttlers []*throttler.Throttler
	allocator  *throttler.Allocator[int]
}

// scheduleLimits schedules the limits of the load.
func (r *simulation) scheduleLimits() {
	nodes := make([]string, 0, r.load.VMs)
	for vm := range r.load.VMs {
		nodes = append(nodes, vmName(vm))
	}
	r.sharing.allocator = throttler.NewAllocator[int]()
	r.sharing.allocator.SetFleet(r.epoch, throttler.NewFleet("", nodes))
	for vm := range r.load.VMs {
		t := throttler.New()
		t.SetFleet(r.epoch, throttler.NewFleet(vmName(vm), nodes))
		r.sharing.throttlers = append(r.sharing.throttlers, t)
	}
	for _, l := range r.load.Limits {
		r.repeat(l.AtMS, l.EveryMS, func(now time.Duration) {
			for _, n := range r.drawEngines(l.Share) {
				r.engines[n].limit = &engineLimit{perSecond: l.PerSecond, until: now + millis(l.ForMS), toldAt: make(map[int]time.Duration)}
			}
		})
	}
}

func vmName(vm int) string { return fmt.Sprint("vm", vm) }

// shareLimits carries the reports of all VMs to the hub and its answers back.
func (r *simulation) shareLimits(now time.Duration) {
	at := r.epoch.Add(now)
	for vm, t := range r.sharing.throttlers {
		r.sharing.allocator.AddVM(at, vm, vmName(vm), t.Alone(at))
		for _, report := range t.Reports(false) {
			r.sharing.allocator.Record(at, vm, report)
		}
	}
	grants, _ := r.sharing.allocator.Advance(at)
	changes := r.sharing.allocator.DrainChanges()
	for _, t := range r.sharing.throttlers {
		t.ConfirmHub(at, at)
		for _, c := range changes {
			t.ApplyHub(at, c.Process, c.Statement)
		}
	}
	for _, g := range grants {
		r.sharing.throttlers[g.VM].AddGrant(at, g.Grant, at)
	}
}

// withinLimit reports whether a VM may send a request to an engine. Otherwise it records
// the demand.
func (r *simulation) withinLimit(now time.Duration, vm int, u *registrar.Upstream) bool {
	t, p := r.sharing.throttlers[vm], throttler.ProcessOf(u)
	if t.MaySend(r.epoch.Add(now), p) {
		return true
	}
	t.Want(p)
	return false
}

// stateLimit records what a response of an engine says about its limit.
func (r *simulation) stateLimit(now, sentAt time.Duration, vm, n int, u *registrar.Upstream) {
	s := throttler.Statement{Stated: true, SentAt: r.epoch.Add(sentAt), At: r.epoch.Add(now)}
	if l := r.engines[n].limit; l != nil && now < l.until {
		s.Limited, s.PerSecond = true, l.perSecond
		if l.statedAt == 0 {
			l.statedAt = now
		}
		record(l.toldAt, vm, now)
	}
	r.sharing.throttlers[vm].Record(r.epoch.Add(now), throttler.ProcessOf(u), s)
}

// countArrival counts a request that reaches an engine beyond its limit.
func (r *simulation) countArrival(now time.Duration, vm, n int) {
	l := r.engines[n].limit
	if l == nil || now >= l.until {
		return
	}
	if at, told := l.toldAt[vm]; !told || now < at+windower.CountsAfter {
		return
	}
	count := l.window.Add(r.epoch.Add(now))
	if now >= l.statedAt+windower.Settling && float64(count) > windower.Allowed(l.perSecond) {
		r.result.OverLimits++
	}
}
