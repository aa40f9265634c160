package sequencer_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentianstep.example/gentianstep/internal/caching/sequencer"
)

// TestOrderUnderFaults loses, repeats and reorders events of two incarnations.
func TestOrderUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := sequencer.New[uint64](sequencer.Config{MaxPending: 4, MaxDelay: time.Second})
		now := time.Unix(1000, 0)
		var incarnation, last uint64
		gap, lost := false, false
		follow := func(steps []sequencer.Step[uint64]) {
			for _, step := range steps {
				switch step.Kind {
				case sequencer.Restart:
					last, gap = 0, false
				case sequencer.Gap:
					gap, lost = true, true
				case sequencer.Deliver:
					if step.Event != step.Seq || step.Seq <= last {
						t.Fatalf("event %d delivered as %d after %d", step.Event, step.Seq, last)
					}
					if step.Seq != last+1 && !gap {
						t.Fatalf("event %d after %d without a gap", step.Seq, last)
					}
					last, gap = step.Seq, false
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "pushes") {
			inc := rapid.Uint64Range(1, 2).Draw(t, "incarnation")
			seq := rapid.Uint64Range(1, 20).Draw(t, "seq")
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			follow(s.Push(now, inc, seq, seq))
			if inc < incarnation && s.Incarnation() != incarnation {
				t.Fatalf("went back to incarnation %d", inc)
			}
			incarnation = max(incarnation, inc)
			follow(s.Tick(now))
		}
		if (s.Stats().Gaps > 0) != lost {
			t.Fatalf("gaps %d, told %v", s.Stats().Gaps, lost)
		}
	})
}

// TestShuffledWithinWindow expects every event, and no gap, where events are
// only out of order by less than the window or repeated.
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
					t.Fatalf("step %v of %d, want event %d", step.Kind, step.Seq, next)
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
			t.Fatalf("%d is due, want %d", next, want)
		}
	})
}
