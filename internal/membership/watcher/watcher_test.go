package watcher

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// step is one call of the Watcher and the state expected after it.
type step struct {
	At          checker.Duration
	Action      string
	Incarnation uint64
	Leaving     bool
	ReportedAt  checker.Duration
	Want        State
}

// scenario is a named sequence of steps, read from testdata.
type scenario struct {
	Name  string
	Steps []step
}

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func runStep(w *Watcher, s step) {
	now := start.Add(s.At.Std())
	switch s.Action {
	case "report":
		w.HandleReport(now, Report{Upstream: "u", Incarnation: s.Incarnation, Leaving: s.Leaving, At: start.Add(s.ReportedAt.Std())})
	case "list":
		var names []string
		if s.Leaving {
			names = []string{"u"}
		}
		w.HandlePlatformList(now, names)
	case "order":
		w.HandleOrder(now, "u")
	case "refusal":
		w.HandleRefusal(now, "u")
	case "accepted":
		w.HandleAccepted("u")
	case "tick":
		w.Tick(now)
	}
}

func TestScenarios(t *testing.T) {
	t.Parallel()
	var scenarios []scenario
	scripter.Read(t, "testdata/scripts.json", &scenarios)
	for _, s := range scenarios {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := New()
			w.SetUpstreams([]string{"u"})
			for _, step := range s.Steps {
				runStep(w, step)
				u, _ := w.Get("u")
				is.Equal(u.State, step.Want)                         // state after the step
				is.Equal(w.IsInService("u"), step.Want == InService) // whether it may get new requests
			}
		})
	}
}

// TestStaleReportsDoNotRestore applies signals and reports in random order and
// checks that only a report of a newer incarnation, or one made after the last
// signal, returns a leaving upstream to service.
func TestStaleReportsDoNotRestore(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := New()
		w.SetUpstreams([]string{"u"})
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			s := step{At: checker.Duration(i) * checker.Duration(time.Second)}
			s.Action = rapid.SampledFrom([]string{"report", "report", "list", "order", "refusal", "tick"}).Draw(t, "do")
			s.Incarnation = rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			s.Leaving = rapid.Bool().Draw(t, "leaving")
			s.ReportedAt = checker.Duration(rapid.IntRange(0, i).Draw(t, "made")) * checker.Duration(time.Second)
			before, _ := w.Get("u")
			runStep(w, s)
			after, _ := w.Get("u")
			if before.State == InService || after.State != InService {
				continue
			}
			newer := s.Incarnation > before.Incarnation && before.Incarnation != 0
			later := s.Incarnation >= before.Incarnation && start.Add(s.ReportedAt.Std()).After(before.lastSignalAt)
			if s.Action != "report" || s.Leaving || !newer && !later {
				t.Fatalf("step %+v returned upstream %+v to service", s, before)
			}
		}
	})
}
