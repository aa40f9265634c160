package watcher

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

type step struct {
	At          checker.Duration
	Do          string
	Incarnation uint64
	Leaving     bool
	Made        checker.Duration
	Want        State
}

type script struct {
	Name  string
	Steps []step
}

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func play(w *Watcher, s step) {
	now := start.Add(s.At.Std())
	switch s.Do {
	case "report":
		w.HandleReport(now, Report{Upstream: "u", Incarnation: s.Incarnation, Leaving: s.Leaving, At: start.Add(s.Made.Std())})
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

func TestScripts(t *testing.T) {
	t.Parallel()
	var scripts []script
	scripter.Read(t, "testdata/scripts.json", &scripts)
	for _, s := range scripts {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := New()
			w.SetUpstreams([]string{"u"})
			for _, step := range s.Steps {
				play(w, step)
				u, _ := w.Get("u")
				is.Equal(u.State, step.Want)                    // state after the step
				is.Equal(w.Serves("u"), step.Want == InService) // new work
			}
		})
	}
}

// TestNeverBackByStaleNews mixes signs in any order: an upstream that left is
// back only by a newer incarnation or by a report made after the last sign.
func TestNeverBackByStaleNews(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := New()
		w.SetUpstreams([]string{"u"})
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			s := step{At: checker.Duration(i) * checker.Duration(time.Second)}
			s.Do = rapid.SampledFrom([]string{"report", "report", "list", "order", "refusal", "tick"}).Draw(t, "do")
			s.Incarnation = rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			s.Leaving = rapid.Bool().Draw(t, "leaving")
			s.Made = checker.Duration(rapid.IntRange(0, i).Draw(t, "made")) * checker.Duration(time.Second)
			before, _ := w.Get("u")
			play(w, s)
			after, _ := w.Get("u")
			if before.State == InService || after.State != InService {
				continue
			}
			newer := s.Incarnation > before.Incarnation && before.Incarnation != 0
			later := s.Incarnation >= before.Incarnation && start.Add(s.Made.Std()).After(before.leftAt)
			if s.Do != "report" || s.Leaving || !newer && !later {
				t.Fatalf("back in service by %+v after %+v", s, before)
			}
		}
	})
}
