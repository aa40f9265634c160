// Package verifier finds out whether upstreams that started again under their ID are the
// processes that have stated that they are leaving.
package verifier

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/withholder"
	"gentianstep.example/gentianstep/internal/upstream/noticer"
)

const (
	// pollInterval is the time between two looks for upstreams to check.
	pollInterval = 250 * time.Millisecond
	// checkTimeout is the time for the response to a check. An upstream may let it wait
	// for a slot.
	checkTimeout = time.Second
	// minRetryDelay and maxRetryDelay are the bounds of the mean time until a check is
	// repeated, which doubles each time.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 8 * time.Second
	// maxChecks is the number of checks at a time.
	maxChecks = 8
)

// Directory holds the entries of all upstreams.
type Directory interface {
	Upstreams() []*registrar.Upstream
}

// Checker sends a request to an upstream that does not count as a client's, and returns
// what its response states.
type Checker interface {
	Check(ctx context.Context, u *registrar.Upstream) (withholder.Notice, error)
}

// Config configures a Verifier.
type Config struct {
	Directory Directory
	Noticer   *noticer.Noticer
	Checker   Checker
	Log       *logrus.Entry
}

// Verifier checks upstreams. It has one Run.
type Verifier struct {
	cfg Config

	mu sync.Mutex
	// pending holds the checks that are under way or are to be repeated.
	pending map[process]*check
}

// process identifies a process of an upstream.
type process struct {
	id        string
	startedAt time.Time
}

// check is the state of the checks of one process.
type check struct {
	// running is true while a check is under way.
	running bool
	// repeatAt is when the next check is sent, retryDelay the mean time until the one
	// after it.
	repeatAt   time.Time
	retryDelay time.Duration
}

// New returns a Verifier.
func New(cfg Config) *Verifier {
	return &Verifier{cfg: cfg, pending: make(map[process]*check)}
}

// Run checks upstreams until ctx is done.
func (v *Verifier) Run(ctx context.Context) {
	var checks sync.WaitGroup
	defer checks.Wait()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.cfg.Noticer.CheckRequests():
		case <-ticker.C:
		}
		for _, u := range v.due(time.Now(), v.cfg.Noticer.Unverified(v.cfg.Directory.Upstreams())) {
			checks.Go(func() { v.check(ctx, u) })
		}
	}
}

// due returns those of the unverified upstreams that are to be checked now, and forgets
// the checks of all others.
func (v *Verifier) due(now time.Time, unverified []*registrar.Upstream) []*registrar.Upstream {
	v.mu.Lock()
	defer v.mu.Unlock()
	var due []*registrar.Upstream
	pending := make(map[process]*check, len(unverified))
	for _, u := range unverified {
		key := process{u.ID, u.StartedAt}
		c := v.pending[key]
		if c == nil {
			c = &check{retryDelay: minRetryDelay}
		}
		pending[key] = c
		if !c.running && !now.Before(c.repeatAt) && len(due) < maxChecks {
			c.running = true
			due = append(due, u)
		}
	}
	v.pending = pending
	return due
}

// check checks one upstream and applies its response.
func (v *Verifier) check(ctx context.Context, u *registrar.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	sentAt := time.Now()
	notice, err := v.cfg.Checker.Check(ctx, u)
	v.end(u)
	entry := v.cfg.Log.WithFields(logrus.Fields{
		"event":      "upstream_checked",
		"upstream":   u.ID,
		"service":    u.Service,
		"address":    u.Address.String(),
		"started_ms": registrar.StartMillis(u.StartedAt),
		"took_ms":    time.Since(sentAt).Milliseconds(),
	})
	if err != nil {
		entry.WithError(err).Warn("could not check whether an upstream is leaving")
		return
	}
	entry.WithFields(logrus.Fields{"instance": notice.Instance, "leaving": notice.Leaving}).Info("checked whether an upstream is leaving")
	v.cfg.Noticer.RecordCheck(u, notice)
}

// end ends a check. It is repeated unless the upstream becomes verified.
func (v *Verifier) end(u *registrar.Upstream) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.pending[process{u.ID, u.StartedAt}]
	if c == nil {
		return // its entry is gone
	}
	c.running = false
	c.repeatAt = time.Now().Add(c.retryDelay/2 + rand.N(c.retryDelay))
	c.retryDelay = min(2*c.retryDelay, maxRetryDelay)
}
