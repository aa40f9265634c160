package sequencer_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentianstep.example/gentianstep/internal/caching/sequencer"
)

// TestOrderUnderFaults loses, repeats and reorders events of two incarnations. Events
// must be delivered in ascending order, and missing ones must be reported as a gap.
func TestOrderUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := sequencer.New[uint64](sequencer.Config{MaxPending: 4, MaxDelay: time.Second})
		now := time.Unix(1000, 0)
		var incarnation, last uint64
		gap, gapReported := false, false
		check := func(steps []sequencer.Step[uint64]) {
			for _, step := range steps {
				switch step.Kind {
				case sequencer.Restart:
					last, gap = 0, false
				case sequencer.Gap:
					gap, gapReported = true, true
				case sequencer.Deliver:
					if step.Event != step.Seq || step.Seq <= last {
						t.Fatalf("event %d delivered as %d after %d", step.Event, step.Seq, last)
					}
					if step.Seq != last+1 && !gap {
						t.Fatalf("event %d delivered after %d without a gap", step.Seq, last)
					}
					last, gap = step.Seq, false
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "pushes") {
			inc := rapid.Uint64Range(1, 2).Draw(t, "incarnation")
			seq := rapid.Uint64Range(1, 20).Draw(t, "seq")
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			check(s.Push(now, inc, seq, seq))
			if inc < incarnation && s.Incarnation() != incarnation {
				t.Fatalf("incarnation %d replaced a newer one", inc)
			}
			incarnation = max(incarnation, inc)
			check(s.Tick(now))
		}
		if (s.Stats().Gaps > 0) != gapReported {
			t.Fatalf("counted %d gaps, gap reported: %v", s.Stats().Gaps, gapReported)
		}
	})
}

// TestShuffledWithinWindow repeats events and reorders them within the limit of
// pending events. Every event must be delivered once, without a gap.
func TestShuffledWithinWindow(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const window = 4
		s := sequencer.New[uint64](sequencer.Config{MaxPending: window, MaxDelay: time.Second})
		now := time.Unix(1000, 0)
		next := uint64(1)
		push := func(seq uint64) {
			for _, step := range s.Push(now, 1, seq, seq) {
				if step.Kind != sequencer.Deliver || step.Seq != next {
					t.Fatalf("got step kind %v for event %d, want delivery of event %d", step.Kind, step.Seq, next)
				}
				next++
			}
		}
		push(1)
		groups := rapid.IntRange(1, 10).Draw(t, "groups")
		for g := range groups {
			group := []uint64{2, 3, 4, 5}
			for _, seq := range rapid.Permutation(group).Draw(t, "order") {
				push(seq + uint64(g*window))
				if rapid.Bool().Draw(t, "repeat") {
					push(seq + uint64(g*window))
				}
			}
		}
		if want := uint64(groups*window + 2); next != want {
			t.Fatalf("next event is %d, want %d", next, want)
		}
	})
}
