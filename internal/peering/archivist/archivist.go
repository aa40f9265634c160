// Package archivist keeps the hub's quarantines in the platform's store, from which VMs
// that start take them.
package archivist

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/routing/quarantiner"
)

const (
	// pollInterval is the time between two looks at the quarantines of the hub.
	pollInterval = 250 * time.Millisecond
	// settleTime is the time for VMs to report quarantines to a new hub before it removes
	// others from the entry.
	settleTime = 3 * time.Second
	// writeInterval is the least time between two writes.
	writeInterval = time.Second
	// trialTolerance is the difference of the times of trials that needs no write: VMs report
	// them to a new hub as ages.
	trialTolerance = 2 * time.Second
	// maxRecords bounds the quarantines of an entry.
	maxRecords = 1024
	// maxTrials bounds the trials of a quarantine. Those that follow are counted beyond it,
	// but not stored.
	maxTrials = math.MaxInt32
)

// record is a quarantine in the store.
type record struct {
	Fingerprint quarantiner.Fingerprint `json:"fingerprint"`
	// LastCrashAt is when the last upstream crashed, by the clock of the hub's VM.
	LastCrashAt time.Time `json:"last_crash_at"`
	// Trials is the number of requests that were sent to see whether upstreams still crash.
	Trials int `json:"trials"`
	// TrialAt is when the next one is due, by the same clock, zero if earlier versions have
	// written the entry.
	TrialAt time.Time `json:"next_trial_at,omitzero"`
}

// entry is the value of the key.
type entry struct {
	Quarantines []record `json:"quarantines"`
}

// check returns an error for a value that no VM writes.
func (e entry) check() error {
	if len(e.Quarantines) > maxRecords {
		return fmt.Errorf("got %d quarantines, want at most %d", len(e.Quarantines), maxRecords)
	}
	for _, r := range e.Quarantines {
		if err := r.Fingerprint.Check(); err != nil {
			return err
		}
		if r.Trials < 0 || r.Trials > maxTrials {
			return fmt.Errorf("quarantine %s: number of trials %d is out of range", r.Fingerprint, r.Trials)
		}
	}
	return nil
}

// Config configures an Archivist.
type Config struct {
	Store storer.Store
	Key   string
	// Stored returns the entry of the key in the replica of this VM, and Changed a channel
	// that is closed at the next change of the replicas.
	Stored  func() (storer.Entry, bool)
	Changed func() <-chan struct{}
	// Active reports whether this VM is the hub and may write.
	Active func() bool
	// Rows returns the decisions of the hub on this VM.
	Rows func() []quarantiner.Row
	// Restore is called with the stored quarantines when the entry has changed.
	Restore func([]quarantiner.Row)
	Log     *logrus.Entry
}

// Archivist reads the entry on each VM and writes it on the hub. It has one Run.
type Archivist struct {
	cfg Config
	// read is the version of the entry that was read last, records what it holds.
	read    storer.Version
	records []record
	// activeSince is when this VM became the hub, zero if it is not; writeAt is the
	// earliest time of the next write.
	activeSince time.Time
	writeAt     time.Time
}

// New returns an Archivist.
func New(cfg Config) *Archivist { return &Archivist{cfg: cfg} }

// Run reads and writes the entry until ctx is done.
func (a *Archivist) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		changed, now := a.cfg.Changed(), time.Now()
		a.readEntry(now)
		a.updateEntry(ctx, now)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-changed:
		}
	}
}

// readEntry restores the quarantines of an entry that has changed.
func (a *Archivist) readEntry(now time.Time) {
	stored, ok := a.cfg.Stored()
	if !ok { // also after a restore of the store from an older copy
		a.read, a.records = storer.Version{}, nil
		return
	}
	if stored.Version() == a.read {
		return
	}
	a.read = stored.Version()
	records, err := decode(stored.Value)
	a.records = records
	if err != nil {
		a.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "entry_ignored", "key": a.cfg.Key}).Warn("ignoring an invalid store entry")
		return
	}
	rows := make([]quarantiner.Row, 0, len(records))
	for _, r := range records {
		rows = append(rows, quarantiner.Row{
			Fingerprint: r.Fingerprint,
			State:       quarantiner.Quarantined,
			LastAt:      now.Add(-max(now.Sub(r.LastCrashAt), 0)),
			Trials:      r.Trials,
			TrialAt:     r.TrialAt,
		})
	}
	a.cfg.Restore(rows)
}

func decode(value []byte) ([]record, error) {
	var e entry
	if err := storer.Decode(value, &e); err != nil {
		return nil, fmt.Errorf("decode quarantines: %w", err)
	}
	if err := e.check(); err != nil {
		return nil, fmt.Errorf("decode quarantines: %w", err)
	}
	return e.Quarantines, nil
}

// updateEntry writes the quarantines if they differ from those in the store.
func (a *Archivist) updateEntry(ctx context.Context, now time.Time) {
	if !a.cfg.Active() {
		a.activeSince = time.Time{}
		return
	}
	if a.activeSince.IsZero() {
		a.activeSince = now
	}
	if now.Before(a.writeAt) {
		return
	}
	stored, _ := a.cfg.Stored()
	records := newRecords(a.cfg.Rows())
	if now.Sub(a.activeSince) < settleTime {
		records = addMissing(records, a.records)
	}
	if slices.EqualFunc(a.records, records, func(x, y record) bool { return isSame(now, x, y) }) {
		return
	}
	value, err := json.Marshal(entry{Quarantines: records})
	if err != nil {
		a.cfg.Log.WithError(err).WithField("event", "quarantines_not_stored").Error("could not encode quarantines")
		return
	}
	a.writeAt = now.Add(writeInterval)
	ctx, cancel := context.WithTimeout(ctx, writeInterval)
	defer cancel()
	if _, err := a.cfg.Store.Put(ctx, a.cfg.Key, value, storer.PutOptions{IfVersion: stored.Version()}); err != nil {
		a.cfg.Log.WithError(err).WithField("event", "quarantines_not_stored").Info("could not store quarantines, this is repeated")
	}
}

// newRecords returns the quarantines among the decisions, sorted by fingerprint.
func newRecords(rows []quarantiner.Row) []record {
	records := make([]record, 0, len(rows))
	for _, row := range rows {
		if row.State == quarantiner.Quarantined && len(records) < maxRecords {
			// Without the reading of the monotonic clock, which means nothing elsewhere.
			records = append(records, record{
				Fingerprint: row.Fingerprint, LastCrashAt: row.LastAt.Round(0).UTC(), Trials: min(row.Trials, maxTrials), TrialAt: row.TrialAt.Round(0).UTC(),
			})
		}
	}
	return sortRecords(records)
}

// addMissing adds the records whose fingerprints a list lacks.
func addMissing(list, others []record) []record {
	for _, r := range others {
		if len(list) < maxRecords && !slices.ContainsFunc(list, func(other record) bool { return other.Fingerprint == r.Fingerprint }) {
			list = append(list, r)
		}
	}
	return sortRecords(list)
}

func sortRecords(list []record) []record {
	slices.SortFunc(list, func(a, b record) int { return strings.Compare(string(a.Fingerprint), string(b.Fingerprint)) })
	return list
}

// isSame reports whether two records differ in nothing that must be written.
func isSame(now time.Time, a, b record) bool {
	delay := func(r record) time.Duration { return max(r.TrialAt.Sub(now), 0) }
	return a.Fingerprint == b.Fingerprint && a.Trials == b.Trials && (delay(a)-delay(b)).Abs() <= trialTolerance
}
