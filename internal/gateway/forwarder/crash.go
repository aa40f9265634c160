package forwarder

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/quarantiner"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

const (
	// crashCheckTimeout bounds the connection that shows whether an upstream has ended.
	// Ports without a listener refuse it within a round trip.
	crashCheckTimeout = time.Second
	// maxCrashEvents is the number of events of a stream up to which its request counts
	// as one under which an engine crashed: engines crash when they begin to write.
	maxCrashEvents = 1
)

// crashDetector finds out whether upstreams have crashed whose connections broke. The
// zero value has no checks.
type crashDetector struct {
	mu     sync.Mutex
	checks map[quarantiner.Process]*crashCheck
}

// crashCheck is the check of one process of an upstream.
type crashCheck struct {
	forwarder *Forwarder
	upstream  *registrar.Upstream
	process   quarantiner.Process
	began     time.Time
	// crashes holds the requests that broke off since the check began.
	crashes []quarantiner.Crash
}

// recordBroken begins to check the upstream of an attempt whose connection broke before
// the end of the response. If it has crashed, that counts against the request.
func (x *exchange) recordBroken(ctx context.Context, now time.Time, u *registrar.Upstream, failure *caller.Failure) {
	broken := failure.Sent && !failure.NotRun && failure.Status == 0
	ended := ctx.Err() != nil || errors.Is(failure, errClientGone) || errors.Is(failure, errWithdrawn) // by this VM
	if !broken || ended || x.events-x.eventsBefore > maxCrashEvents || !x.isOpen(u) {
		return
	}
	sentAt := x.sentAt
	if at := x.firstByteSentAt.Load(); at != nil {
		sentAt = *at
	}
	x.crashes.add(x.Forwarder, now, u, quarantiner.Crash{
		Fingerprints: x.fingerprints(),
		Process:      quarantiner.Process{Upstream: u.ID, StartedAt: u.StartedAt},
		Weights:      x.choice.WeightsVersion,
		SentAt:       sentAt,
		At:           now,
	})
}

// isOpen reports whether an upstream may get requests. The end of one that leaves is
// no crash.
func (x *exchange) isOpen(u *registrar.Upstream) bool {
	usable := slices.ContainsFunc(x.cfg.Directory.Usable(x.service), func(current *registrar.Upstream) bool {
		return current.ID == u.ID && current.StartedAt.Equal(u.StartedAt)
	})
	return usable && x.cfg.Noticer.IsOpen(u)
}

// add adds a request to the check of its upstream's process, and begins one unless it is
// under way.
func (d *crashDetector) add(f *Forwarder, now time.Time, u *registrar.Upstream, crash quarantiner.Crash) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.checks == nil {
		d.checks = make(map[quarantiner.Process]*crashCheck)
	}
	c := d.checks[crash.Process]
	if c == nil {
		c = &crashCheck{forwarder: f, upstream: u, process: crash.Process, began: now}
		d.checks[crash.Process] = c
		go c.run()
	}
	c.crashes = append(c.crashes, crash)
}

// end ends a check and returns the requests that broke off meanwhile.
func (d *crashDetector) end(c *crashCheck) []quarantiner.Crash {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.checks, c.process)
	return c.crashes
}

// run opens a connection to the upstream. A process whose port refuses it has ended.
func (c *crashCheck) run() {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	crashed := c.forwarder.cfg.Caller.IsRefused(ctx, caller.Target{Name: c.upstream.ID, Address: c.upstream.Address})
	crashes := c.forwarder.crashes.end(c)
	if !crashed {
		return
	}
	c.forwarder.logEnd(c, crashes)
}

// logEnd logs that an upstream has ended, and how many requests it had not begun to
// answer.
func (f *Forwarder) logEnd(c *crashCheck, crashes []quarantiner.Crash) {
	f.cfg.Log.WithFields(map[string]any{
		"event":      "upstream_crashed",
		"upstream":   c.upstream.ID,
		"service":    c.upstream.Service,
		"address":    c.upstream.Address.String(),
		"started_ms": registrar.StartMillis(c.upstream.StartedAt),
		"requests":   len(crashes),
		"took_ms":    time.Since(c.began).Milliseconds(),
	}).Warn("upstream has ended under requests")
}
