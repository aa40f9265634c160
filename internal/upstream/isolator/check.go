package isolator

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/quarantiner"
)

// checkTimeout bounds the connection that shows whether an upstream has ended. Ports
// without a listener refuse it within a round trip.
const checkTimeout = time.Second

// check is the check of one process of an upstream.
type check struct {
	isolator *Isolator
	upstream *registrar.Upstream
	process  quarantiner.Process
	began    time.Time
	// crashes holds the requests that broke off since the check began.
	crashes []quarantiner.Crash
}

// RecordBroken begins to check whether an upstream has ended whose connection broke before
// the end of a response. If it has, that counts against the request, whose fields but for
// Process the caller sets.
func (i *Isolator) RecordBroken(u *registrar.Upstream, crash quarantiner.Crash) {
	i.mu.Lock()
	defer i.mu.Unlock()
	crash.Process = quarantiner.Process{Upstream: u.ID, StartedAt: u.StartedAt}
	if u.StartedAt.IsZero() {
		crash.Process.StartedAt = i.latestEnd(u.ID, crash.SentAt)
	}
	c := i.checks[crash.Process]
	if c == nil {
		c = &check{isolator: i, upstream: u, process: crash.Process, began: crash.At}
		i.checks[crash.Process] = c
		go c.run()
	}
	c.crashes = append(c.crashes, crash)
}

// latestEnd returns when an upstream that states no start last ended before a request was
// sent to it. It distinguishes its processes. The caller holds i.mu.
func (i *Isolator) latestEnd(upstream string, sentAt time.Time) time.Time {
	if at, ok := i.ends.Get(upstream); ok && at.Before(sentAt) {
		return at
	}
	return time.Time{}
}

// run opens a connection to the upstream. A process whose port refuses it has ended.
func (c *check) run() {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	c.isolator.endCheck(c, c.isolator.cfg.IsRefused(ctx, c.upstream.Address))
}

// endCheck ends a check. If the upstream has crashed, that counts against the requests that
// broke off meanwhile.
func (i *Isolator) endCheck(c *check, crashed bool) {
	i.mu.Lock()
	delete(i.checks, c.process)
	crashes, now := c.crashes, time.Now()
	if crashed {
		for _, crash := range crashes {
			i.guard.RecordCrash(now, crash)
		}
		i.ends.Add(c.upstream.ID, c.began)
	}
	i.mu.Unlock()
	if !crashed {
		return
	}
	i.requestReport()
	i.cfg.Log.WithFields(logrus.Fields{
		"event":      "upstream_crashed",
		"upstream":   c.upstream.ID,
		"service":    c.upstream.Service,
		"address":    c.upstream.Address.String(),
		"started_ms": registrar.StartMillis(c.upstream.StartedAt),
		"requests":   len(crashes),
		"took_ms":    now.Sub(c.began).Milliseconds(),
	}).Warn("upstream has ended under requests")
}
