// Package budgeter implements a retry budget for a whole deployment without a
// shared counter: each VM allows retries in proportion to its own requests, plus
// an equal share of a fixed allowance. It performs no I/O, and callers pass in
// the time.
package budgeter

import "time"

const (
	// bucketsPerWindow is the number of buckets in the length of a window.
	bucketsPerWindow = 10
	// numBuckets is one more, because the current bucket is incomplete and
	// retries must be counted for at least the full length of a window.
	numBuckets = bucketsPerWindow + 1
	// usableFraction is the fraction of the budget that is spent. The rest covers
	// VMs that are not counted yet and requests that arrive late.
	usableFraction = 0.8
)

// Config configures a Budgeter.
type Config struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Extra is the number of additional retries per window that all VMs share.
	Extra  int
	Window time.Duration
	// StartedAt is when the process of this VM started, or zero if no other one may
	// have run before. The share of Extra is available one Window later: the process
	// before may have spent it, and the other VMs may not be known yet.
	StartedAt time.Time
}

// Budgeter counts the requests and retries of each service and limits the
// retries. It is not safe for concurrent use.
type Budgeter struct {
	cfg      Config
	vms      int
	services map[string]*window
}

// window is a sliding window of request and retry counts in a ring of buckets.
type window struct {
	bucketEndsAt time.Time
	current      int
	requests     [numBuckets]int
	retries      [numBuckets]int
}

// New returns a Budgeter for a single VM.
func New(cfg Config) *Budgeter {
	return &Budgeter{cfg: cfg, vms: 1, services: make(map[string]*window)}
}

// SetVMs sets the number of VMs that share the budget.
func (b *Budgeter) SetVMs(n int) { b.vms = max(n, 1) }

// SetConfig replaces the configuration. A change of the window length resets all
// counts.
func (b *Budgeter) SetConfig(cfg Config) {
	if cfg.Window != b.cfg.Window {
		clear(b.services)
	}
	b.cfg = cfg
}

// RecordRequest records a request to a service.
func (b *Budgeter) RecordRequest(now time.Time, service string) {
	w := b.window(now, service)
	w.requests[w.current]++
}

// AllowRetry reports whether the budget of a service allows a retry, and records
// the retry if so. Requests in the oldest bucket don't count towards the budget,
// because that bucket may lie outside the window.
func (b *Budgeter) AllowRetry(now time.Time, service string) bool {
	w := b.window(now, service)
	allowed := b.cfg.Ratio*float64(sum(w.requests)-w.requests[w.oldestBucket()]) + b.extraShare(now)
	if float64(sum(w.retries)+1) > usableFraction*allowed {
		return false
	}
	w.retries[w.current]++
	return true
}

// extraShare returns the share of the fixed allowance that this VM may spend.
func (b *Budgeter) extraShare(now time.Time) float64 {
	if !b.cfg.StartedAt.IsZero() && now.Before(b.cfg.StartedAt.Add(b.cfg.Window)) {
		return 0
	}
	return float64(b.cfg.Extra) / float64(b.vms)
}

func (b *Budgeter) window(now time.Time, service string) *window {
	w, ok := b.services[service]
	if !ok {
		w = &window{}
		b.services[service] = w
	}
	bucketLength := b.cfg.Window / bucketsPerWindow
	if w.bucketEndsAt.IsZero() {
		w.bucketEndsAt = now.Add(bucketLength)
	}
	for i := 0; i < numBuckets && !now.Before(w.bucketEndsAt); i++ {
		w.current = (w.current + 1) % numBuckets
		w.requests[w.current], w.retries[w.current] = 0, 0
		w.bucketEndsAt = w.bucketEndsAt.Add(bucketLength)
	}
	if !now.Before(w.bucketEndsAt) {
		w.bucketEndsAt = now.Add(bucketLength)
	}
	return w
}

// oldestBucket returns the index of the oldest bucket, which may lie outside the
// window.
func (w *window) oldestBucket() int { return (w.current + 1) % numBuckets }

func sum(counts [numBuckets]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
