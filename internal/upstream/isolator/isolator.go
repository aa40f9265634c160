// Package isolator keeps requests from upstreams that crash under them, by what this VM
// and the others have seen, and logs it.
package isolator

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/routing/quarantiner"
)

// Labels of the metric for quarantines.
const (
	quarantineStarted = "started"
	quarantineEnded   = "ended"
	quarantineTrial   = "trial"
)

// maxEnds bounds the upstreams of which it is known when they have ended.
const maxEnds = 4096

// Config configures an Isolator.
type Config struct {
	// Node is the name of this VM.
	Node string
	// IsRefused reports whether nothing listens at an address.
	IsRefused func(ctx context.Context, address netip.AddrPort) bool
	Meter     *meter.Meter
	Log       *logrus.Entry
}

// Isolator is safe for concurrent use.
type Isolator struct {
	cfg Config

	mu     sync.Mutex
	guard  *quarantiner.Guard
	checks map[quarantiner.Process]*check
	// ends holds when upstreams have last ended.
	ends *simplelru.LRU[string, time.Time]
	// onQuarantine is called after quarantines have begun, onReport when the hub is to be
	// informed before the next report.
	onQuarantine func()
	onReport     func()
}

// New returns an Isolator without quarantines.
func New(cfg Config) *Isolator {
	ends, err := simplelru.NewLRU[string, time.Time](maxEnds, nil)
	if err != nil {
		panic(fmt.Sprintf("create LRU cache of the ends of %d upstreams: %v", maxEnds, err))
	}
	return &Isolator{
		cfg:          cfg,
		ends:         ends,
		guard:        quarantiner.NewGuard(cfg.Node),
		checks:       make(map[quarantiner.Process]*check),
		onQuarantine: func() {},
		onReport:     func() {},
	}
}

// SetHandlers sets the functions that are called after quarantines have begun, and when
// there is something that the hub is to be informed of at once. They must not block.
func (i *Isolator) SetHandlers(onQuarantine, onReport func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.onQuarantine, i.onReport = onQuarantine, onReport
}

func (i *Isolator) requestReport() {
	i.mu.Lock()
	onReport := i.onReport
	i.mu.Unlock()
	onReport()
}

// RecordAnswer records a complete response to a request, on a version of the weights if
// it is from an engine.
func (i *Isolator) RecordAnswer(fingerprints []quarantiner.Fingerprint, weights uint64) {
	i.mu.Lock()
	urgent := i.guard.RecordAnswer(time.Now(), fingerprints, weights)
	i.mu.Unlock()
	if urgent {
		i.requestReport()
	}
}

// Check returns the refusal of a request, or false if it may be sent.
func (i *Isolator) Check(fingerprints []quarantiner.Fingerprint) (quarantiner.Refusal, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.guard.Check(time.Now(), fingerprints)
}

// Admit is like Check, right before the first byte of a request. Some requests are sent in
// spite of a quarantine, to see whether upstreams still crash.
func (i *Isolator) Admit(fingerprints []quarantiner.Fingerprint) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.guard.Admit(time.Now(), fingerprints)
}

// AdmitWithPass is like Admit. It returns the trials that permit the request.
func (i *Isolator) AdmitWithPass(fingerprints []quarantiner.Fingerprint) (quarantiner.Pass, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.guard.AdmitWithPass(time.Now(), fingerprints)
}

// Return gives back the trials of a request that no upstream has run.
func (i *Isolator) Return(pass quarantiner.Pass) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.guard.Return(pass)
}

// Snapshot returns the events that another hub needs, and the number of the last one.
func (i *Isolator) Snapshot() ([]quarantiner.Event, uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.guard.Snapshot(time.Now())
}

// Events returns the events after a number, and the number of the last one.
func (i *Isolator) Events(after uint64) ([]quarantiner.Event, uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.guard.Events(after)
}

// Apply applies the decisions in a message of the hub; they are all of its decisions if
// it is full.
func (i *Isolator) Apply(full bool, rows []quarantiner.Row) {
	now := time.Now()
	i.mu.Lock()
	changes, urgent := i.guard.Apply(now, full, rows)
	onQuarantine := i.onQuarantine
	i.mu.Unlock()
	if urgent {
		i.requestReport()
	}
	for _, c := range changes {
		i.logChange(now, c)
	}
	if len(changes) > 0 {
		onQuarantine()
	}
}

// Restore applies the quarantines in the platform's store.
func (i *Isolator) Restore(rows []quarantiner.Row) {
	i.mu.Lock()
	i.guard.Restore(time.Now(), rows)
	i.mu.Unlock()
	i.requestReport()
}

func (i *Isolator) logChange(now time.Time, c quarantiner.Change) {
	event, label := "quarantine_started", quarantineStarted
	switch {
	case c.Trial:
		event, label = "quarantine_trial", quarantineTrial
	case c.Row.State != quarantiner.Quarantined:
		event, label = "quarantine_ended", quarantineEnded
	}
	i.cfg.Meter.Count(meter.Quarantines, label, 1)
	fields := logrus.Fields{"event": event, "fingerprint": c.Row.Fingerprint}
	if c.Row.State == quarantiner.Quarantined {
		fields["first_crash_ms"] = now.Sub(c.Row.FirstAt).Milliseconds()
		fields["last_crash_ms"] = now.Sub(c.Row.LastAt).Milliseconds()
		fields["trial_in_ms"] = c.Row.TrialAt.Sub(now).Milliseconds()
		fields["trials"], fields["trial_vm"] = c.Row.Trials, c.Row.TrialVM
	}
	i.cfg.Log.WithFields(fields).Info("quarantine changed")
}
