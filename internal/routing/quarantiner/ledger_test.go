package quarantiner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/routing/quarantiner"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// ledgerStep is an event, or the passing of time, and the expected decisions after it.
type ledgerStep struct {
	AtMS int `json:"at_ms"`
	// HappenedMS is when the event was; at_ms if it is 0.
	HappenedMS int                       `json:"happened_ms"`
	Crash      []quarantiner.Fingerprint `json:"crash"`
	Process    string                    `json:"process"`
	SentMS     int                       `json:"sent_ms"`
	Weights    uint64                    `json:"weights"`
	Answer     quarantiner.Fingerprint   `json:"answer"`
	// Demand lists the quarantined fingerprints of a refused request, divided by commas.
	Demand string                  `json:"demand"`
	VM     string                  `json:"vm"`
	Adopt  quarantiner.Fingerprint `json:"adopt"`
	Trials int                     `json:"trials"`

	Want        map[quarantiner.Fingerprint]string `json:"want"`
	WantTrials  map[quarantiner.Fingerprint]int    `json:"want_trials"`
	WantTrialVM string                             `json:"want_trial_vm"`
	// WantTold holds when VMs know the next trials to be due.
	WantTold map[quarantiner.Fingerprint]int `json:"want_told_ms"`
	NextMS   int                             `json:"next_ms"`
}

type ledgerRow struct {
	Name  string       `json:"name"`
	Steps []ledgerStep `json:"steps"`
}

// event returns the event of a step, false if it has none.
func (s ledgerStep) event() (quarantiner.Event, bool) {
	happenedAt := at(s.AtMS)
	if s.HappenedMS > 0 {
		happenedAt = at(s.HappenedMS)
	}
	e := quarantiner.Event{Weights: s.Weights, SentAt: at(s.SentMS), At: happenedAt, Trials: s.Trials, TrialAt: at(s.AtMS)}
	switch {
	case len(s.Crash) > 0:
		e.Type, e.Fingerprints, e.Process = quarantiner.Crashed, s.Crash, quarantiner.Process{Upstream: s.Process, StartedAt: start}
	case s.Answer != "":
		e.Type, e.Fingerprints = quarantiner.Answered, []quarantiner.Fingerprint{s.Answer}
	case s.Demand != "":
		e.Type = quarantiner.Refused
		for f := range strings.SplitSeq(s.Demand, ",") {
			e.Fingerprints = append(e.Fingerprints, quarantiner.Fingerprint(f))
		}
	case s.Adopt != "":
		e.Type, e.Fingerprints = quarantiner.Known, []quarantiner.Fingerprint{s.Adopt}
	default:
		return e, false
	}
	return e, true
}

func rowsByFingerprint(l *quarantiner.Ledger) map[quarantiner.Fingerprint]quarantiner.Row {
	rows := make(map[quarantiner.Fingerprint]quarantiner.Row)
	for _, row := range l.Rows() {
		rows[row.Fingerprint] = row
	}
	return rows
}

// TestDecisions replays crashes and answers, by the loads in which they come.
func TestDecisions(t *testing.T) {
	t.Parallel()
	var rows []ledgerRow
	scripter.Read(t, "testdata/ledger.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			l := quarantiner.NewLedger()
			told := make(map[quarantiner.Fingerprint]quarantiner.Row)
			for n, step := range row.Steps {
				now := at(step.AtMS)
				if e, ok := step.event(); ok {
					l.Apply(now, step.VM, e)
				}
				next := l.Advance(now)
				step.check(t, n+1, l)
				for _, row := range l.DrainChanges() {
					told[row.Fingerprint] = row
				}
				for f, want := range step.WantTold {
					if got := told[f].TrialAt; !got.Equal(at(want)) {
						t.Errorf("step %d: VMs are told that %s is on trial %v after the start, want %d ms", n+1, f, got.Sub(start), want)
					}
				}
				if step.NextMS > 0 && !next.Equal(at(step.NextMS)) {
					t.Errorf("step %d: next decision is due %v after the start, want %d ms", n+1, next.Sub(start), step.NextMS)
				}
			}
		})
	}
}

func (s ledgerStep) check(t *testing.T, n int, l *quarantiner.Ledger) {
	t.Helper()
	rows := rowsByFingerprint(l)
	for f, want := range s.Want {
		if got := rows[f].State.String(); got != want {
			t.Errorf("step %d: %s is %s, want %s", n, f, got, want)
		}
	}
	for f, want := range s.WantTrials {
		if got := rows[f].Trials; got != want {
			t.Errorf("step %d: %d trials of %s, want %d", n, got, f, want)
		}
		if vm := rows[f].TrialVM; s.WantTrialVM != "" && vm != s.WantTrialVM {
			t.Errorf("step %d: trial of %s at %q, want %q", n, f, vm, s.WantTrialVM)
		}
	}
}

// TestNewPartsDisplaceNoQuarantine guards against callers that name new parts all the time
// so that the crashes of others are forgotten.
func TestNewPartsDisplaceNoQuarantine(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := quarantiner.NewLedger()
	crash := func(n int, f quarantiner.Fingerprint) {
		now := at(1000 * n)
		l.RecordCrash(now, quarantiner.Crash{
			Fingerprints: []quarantiner.Fingerprint{f}, Process: quarantiner.Process{Upstream: fmt.Sprint(n)},
			SentAt: now.Add(-time.Millisecond), At: now,
		})
		l.Advance(now)
	}
	for n := range 3 {
		crash(n+1, "deadly")
	}
	for n := range 50_000 {
		crash(10+n/1000, quarantiner.Fingerprint(fmt.Sprint("new ", n)))
		l.RecordAnswer(at(1000*n), quarantiner.Fingerprint(fmt.Sprint("answered ", n)), at(1000*n), 0)
	}
	is.True(l.IsQuarantined("deadly"))
	is.Equal(len(l.Rows()), 1)
}

// TestChangesAreDrainedOnce checks that each decision is passed on, the removal included.
func TestChangesAreDrainedOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := quarantiner.NewLedger()
	states := func() []string {
		rows := l.DrainChanges()
		list := make([]string, 0, len(rows))
		for _, row := range rows {
			list = append(list, row.State.String())
		}
		return list
	}
	for n := 1; n <= 3; n++ {
		now := at(1000 * n)
		l.RecordCrash(now, quarantiner.Crash{
			Fingerprints: []quarantiner.Fingerprint{"p"}, Process: quarantiner.Process{Upstream: fmt.Sprint(n)},
			SentAt: now.Add(-time.Millisecond), At: now,
		})
		is.Equal(states(), [][]string{{}, {"suspect"}, {"quarantined"}}[n-1])
	}
	is.True(!l.HasChanges())
	l.RecordAnswer(at(5000), "p", at(5000), 0)
	is.Equal(states(), []string{"clear"})
	is.Equal(len(l.Rows()), 0)
}

// TestFingerprints checks that different contents have different fingerprints, which may
// stand in messages whatever a caller sends.
func TestFingerprints(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	long := string(make([]byte, 100))
	list := []quarantiner.Fingerprint{
		quarantiner.NewPart("m", "a"), quarantiner.NewPart("m/a", ""), quarantiner.NewPart("", "m/a"), quarantiner.NewPart("m", long),
		quarantiner.NewPart("m", "\xff"), quarantiner.NewPart("m", "\xfe"), quarantiner.NewPart("m", "a b"),
		quarantiner.NewRequest("o", "GET", "h", "/a", nil), quarantiner.NewRequest("o", "GET", "h", "/", []byte("a")),
		quarantiner.NewRequest("p", "GET", "h", "/a", nil), quarantiner.NewRequest("o", "PUT", "h", "/a", nil),
	}
	seen := make(map[quarantiner.Fingerprint]bool)
	for _, f := range list {
		is.NoErr(f.Check())
		is.True(!seen[f])
		seen[f] = true
		for _, b := range []byte(f) {
			is.True(b > ' ' && b <= '~')
		}
	}
	is.Equal(list[0], quarantiner.Fingerprint("part:1/m/a"))
	is.True(quarantiner.Fingerprint("other").Check() != nil)
	is.True(quarantiner.Fingerprint("part:"+long).Check() != nil)
}
