package archivist_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/peering/archivist"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/routing/quarantiner"
	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/internal/upstream/isolator"
)

var deadly = []quarantiner.Fingerprint{quarantiner.NewPart("m", "deadly")}

// store is a store with one key, which all VMs have in their replicas at once.
type store struct {
	storer.Store

	mu     sync.Mutex
	entry  storer.Entry
	writes int
}

// Put implements storer.Store.
func (s *store) Put(_ context.Context, key string, value []byte, opts storer.PutOptions) (storer.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if opts.IfVersion != s.entry.Version() {
		return storer.Version{}, storer.ErrConflict
	}
	s.writes++
	s.entry = storer.Entry{Key: key, Value: value, Revision: s.entry.Revision + 1}
	return s.entry.Version(), nil
}

func (s *store) get() (storer.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry, s.entry.Revision > 0
}

// lose removes the entry.
func (s *store) lose() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry = storer.Entry{}
}

func (s *store) writeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// hub is a ledger that the archivist and a test use at the same time.
type hub struct {
	mu     sync.Mutex
	ledger *quarantiner.Ledger
}

func (h *hub) rows() []quarantiner.Row {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Rows()
}

// with calls a function with the ledger.
func (h *hub) with(use func(*quarantiner.Ledger)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	use(h.ledger)
}

// failTrial begins the next trial once it is due, and records a crash in it.
func (h *hub) failTrial(n int) {
	time.Sleep(time.Until(h.rows()[0].TrialAt))
	h.with(func(l *quarantiner.Ledger) {
		l.RecordDemand(time.Now(), "vm", deadly)
		l.Advance(time.Now())
	})
	time.Sleep(time.Second)
	h.with(func(l *quarantiner.Ledger) {
		l.RecordCrash(time.Now(), quarantiner.Crash{
			Fingerprints: deadly, Process: quarantiner.Process{Upstream: fmt.Sprint("trial ", n)}, SentAt: time.Now(), At: time.Now(),
		})
	})
}

// start runs the archivist of a VM, which is the hub unless h is nil.
func start(ctx context.Context, s *store, h *hub) *isolator.Isolator {
	i := isolator.New(isolator.Config{Node: "vm", Meter: meter.New(), Log: discardLog()})
	go archivist.New(archivist.Config{
		Store:   s,
		Key:     "k",
		Stored:  s.get,
		Changed: func() <-chan struct{} { return nil },
		Active:  func() bool { return h != nil },
		Rows:    h.rows,
		Restore: i.Restore,
		Log:     discardLog(),
	}).Run(ctx)
	return i
}

// quarantined returns a hub that has quarantined deadly.
func quarantined() *hub {
	l := quarantiner.NewLedger()
	for n := range 3 {
		at := time.Now().Add(time.Duration(n-10) * time.Second)
		l.RecordCrash(at, quarantiner.Crash{
			Fingerprints: deadly, Process: quarantiner.Process{Upstream: fmt.Sprint(n)}, SentAt: at.Add(-time.Millisecond), At: at,
		})
	}
	l.Advance(time.Now())
	return &hub{ledger: l}
}

// TestQuarantinesOutlastARestartOfAllVMs guards against requests that crash upstreams
// again since all VMs have started anew.
func TestQuarantinesOutlastARestartOfAllVMs(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{}
		ctx, stop := context.WithCancel(t.Context())
		start(ctx, s, quarantined())
		time.Sleep(10 * time.Second)
		is.Equal(s.writeCount(), 1)
		stop()
		time.Sleep(time.Minute)

		// The new hub has no quarantines until the VMs have reported what they have read.
		ctx, stop = context.WithCancel(t.Context())
		defer stop()
		next := &hub{ledger: quarantiner.NewLedger()}
		vm := start(ctx, s, next)
		time.Sleep(500 * time.Millisecond)
		_, refused := vm.Check(deadly)
		is.True(refused)
		events, _ := vm.Snapshot()
		next.with(func(l *quarantiner.Ledger) {
			for _, e := range events {
				l.Apply(time.Now(), "vm", e)
			}
			is.True(l.IsQuarantined(deadly[0]))
		})
		time.Sleep(10 * time.Second)
		is.Equal(s.writeCount(), 1) // nothing has changed

		// The quarantines of the hub before are kept until the VMs have had time to report.
		ctx, stopThird := context.WithCancel(t.Context())
		defer stopThird()
		start(ctx, s, &hub{ledger: quarantiner.NewLedger()})
		time.Sleep(2 * time.Second)
		is.Equal(s.writeCount(), 1)
		stopThird()

		// An answer ends it, in the store too.
		next.with(func(l *quarantiner.Ledger) { l.RecordAnswer(time.Now(), deadly[0], time.Now(), 0) })
		time.Sleep(2 * time.Second)
		is.Equal(s.writeCount(), 2)
		entry, _ := s.get()
		is.Equal(string(entry.Value), `{"quarantines":[]}`)
		other := start(ctx, s, nil)
		time.Sleep(time.Second)
		_, refused = other.Check(deadly)
		is.True(!refused)
	})
}

// TestTrialsWaitAfterARestart guards against a crash by a trial at each start of a VM, though
// the next one is due much later.
func TestTrialsWaitAfterARestart(t *testing.T) {
	t.Parallel()
	var rows []struct {
		Name string `json:"name"`
		// FailedTrials is the number of trials with a crash, the last one RestartMS before
		// the restart.
		FailedTrials int `json:"failed_trials"`
		RestartMS    int `json:"restart_ms"`
		WantMS       int `json:"want_ms"`
	}
	scripter.Read(t, "testdata/trials.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &store{}
				ctx, stop := context.WithCancel(t.Context())
				h := quarantined()
				start(ctx, s, h)
				time.Sleep(2 * time.Second)
				for n := range row.FailedTrials {
					h.failTrial(n)
				}
				time.Sleep(time.Duration(row.RestartMS) * time.Millisecond)
				stop()
				vm := start(t.Context(), s, nil)
				time.Sleep(300 * time.Millisecond)
				refusal, refused := vm.Check(deadly)
				is.True(refused)
				got, want := time.Until(refusal.TrialAt).Milliseconds(), int64(row.WantMS)
				if got < want-1000 || got > want {
					t.Errorf("the next trial is due in %d ms, want %d or up to a second less", got, want)
				}
			})
		})
	}
}

// TestLostEntryIsWrittenAgain guards against a restore of the store from a copy without the
// entry: VMs that start later would know nothing of the quarantines.
func TestLostEntryIsWrittenAgain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		start(ctx, s, quarantined())
		time.Sleep(10 * time.Second)
		is.Equal(s.writeCount(), 1)
		s.lose()
		time.Sleep(10 * time.Second)
		is.Equal(s.writeCount(), 2)
		vm := start(ctx, s, nil)
		time.Sleep(time.Second)
		_, refused := vm.Check(deadly)
		is.True(refused)
	})
}

// TestInvalidEntryIsIgnored guards against an entry of another writer that ends the VMs
// which read it, or fills their memory.
func TestInvalidEntryIsIgnored(t *testing.T) {
	t.Parallel()
	for _, value := range []string{
		"", "null", "[]", "{", `{"quarantines":[{}]}`, `{"quarantines":[{"fingerprint":"x"}]}`,
		`{"quarantines":[{"fingerprint":"part:1/m/a","trials":-1}]}`, `{"quarantines":[{"fingerprint":"part:1/m/a","last_crash_at":"x"}]}`,
		`{"quarantines":[{"fingerprint":"part:1/m/a","next_trial_at":"x"}]}`,
		`{"quarantines":[{"fingerprint":"part:1/m/a","trials":9223372036854775807}]}`,
		`{"quarantines":[{"fingerprint":"part:1/m/a","trials":2147483648}]}`,
		`{"quarantines":[{"fingerprint":"part:1/m/a","trials":18446744073709551616}]}`,
		`{"quarantines":[{"fingerprint":"part:1/m/a","last_crash_at":"10000-01-01T00:00:00Z"}]}`,
		strings.Repeat("[", 1_000_000),
		`{"quarantines":` + strings.Repeat(`[`, 500_000) + strings.Repeat(`]`, 500_000) + `}`,
		`{"quarantines":[` + strings.Repeat(`{},`, 300_000) + `{}]}`,
		`{"quarantines":[{"fingerprint":"part:1/m/` + strings.Repeat("a", 1_000_000) + `"}]}`,
	} {
		t.Run(value[:min(len(value), 80)], func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &store{entry: storer.Entry{Key: "k", Value: []byte(value), Revision: 7}}
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				vm := start(ctx, s, nil)
				time.Sleep(5 * time.Second)
				_, refused := vm.Check(deadly)
				is.True(!refused)
				is.Equal(s.writeCount(), 0)
				start(ctx, s, quarantined()) // the hub replaces it
				time.Sleep(5 * time.Second)
				is.Equal(s.writeCount(), 1)
				_, refused = vm.Check(deadly)
				is.True(refused)
			})
		})
	}
}

// TestTrialsBeyondTheBoundAreStored guards against an entry that its own writer ignores, so
// that it is written again and again.
func TestTrialsBeyondTheBoundAreStored(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const value = `{"quarantines":[{"fingerprint":"part:1/m/deadly","last_crash_at":"2000-01-01T00:00:00Z","trials":2147483647}]}`
		s := &store{entry: storer.Entry{Key: "k", Value: []byte(value), Revision: 7}}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		h := &hub{ledger: quarantiner.NewLedger()}
		row := quarantiner.Row{Fingerprint: deadly[0], State: quarantiner.Quarantined, LastAt: time.Now(), Trials: 1 << 31}
		h.ledger.Adopt(time.Now(), row)
		start(ctx, s, h)
		time.Sleep(time.Minute)
		is.Equal(s.writeCount(), 0)
	})
}
