// Package budgeter keeps repeated sends of a deployment within one budget
// without a shared counter: each VM spends its part of what is allowed. It
// does no I/O and reads no clock.
package budgeter

import "time"

const (
	// parts is the number of parts into which a window is divided.
	parts = 10
	// buckets holds one part more: the current one has only begun, and repeats
	// count for the whole length of a window.
	buckets = parts + 1
	// share is the part of the budget that is spent; the rest covers VMs that
	// are not known yet and arrivals that are late.
	share = 0.8
)

// Config holds what a Budgeter is built from.
type Config struct {
	// Ratio is the number of repeats allowed for each request.
	Ratio float64
	// Extra is allowed on top in each window by all VMs together.
	Extra  int
	Window time.Duration
}

// Budgeter counts requests and repeats of each service. It is used by one
// goroutine at a time.
type Budgeter struct {
	cfg      Config
	vms      int
	services map[string]*window
}

// window counts in rotating buckets.
type window struct {
	endsAt   time.Time
	current  int
	requests [buckets]int
	repeats  [buckets]int
}

// New returns a Budgeter of a VM that is alone.
func New(cfg Config) *Budgeter {
	return &Budgeter{cfg: cfg, vms: 1, services: make(map[string]*window)}
}

// SetVMs sets the number of VMs that share the budget.
func (b *Budgeter) SetVMs(n int) { b.vms = max(n, 1) }

// SetConfig puts other bounds into force. What was counted is forgotten where
// the window has another length.
func (b *Budgeter) SetConfig(cfg Config) {
	if cfg.Window != b.cfg.Window {
		clear(b.services)
	}
	b.cfg = cfg
}

// Request counts a request for a service.
func (b *Budgeter) Request(now time.Time, service string) {
	w := b.window(now, service)
	w.requests[w.current]++
}

// Repeat reports whether a request may be sent once more, and counts that.
func (b *Budgeter) Repeat(now time.Time, service string) bool {
	w := b.window(now, service)
	allowed := b.cfg.Ratio*float64(sum(w.requests)-w.requests[w.oldest()]) + float64(b.cfg.Extra)/float64(b.vms)
	if float64(sum(w.repeats)+1) > share*allowed {
		return false
	}
	w.repeats[w.current]++
	return true
}

func (b *Budgeter) window(now time.Time, service string) *window {
	w, ok := b.services[service]
	if !ok {
		w = &window{}
		b.services[service] = w
	}
	step := b.cfg.Window / parts
	if w.endsAt.IsZero() {
		w.endsAt = now.Add(step)
	}
	for i := 0; i < buckets && !now.Before(w.endsAt); i++ {
		w.current = (w.current + 1) % buckets
		w.requests[w.current], w.repeats[w.current] = 0, 0
		w.endsAt = w.endsAt.Add(step)
	}
	if !now.Before(w.endsAt) {
		w.endsAt = now.Add(step)
	}
	return w
}

// oldest is the bucket that may lie outside the window.
func (w *window) oldest() int { return (w.current + 1) % buckets }

func sum(counts [buckets]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
