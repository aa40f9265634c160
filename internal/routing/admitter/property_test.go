package admitter

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

// world drives an Admitter with random events and knows where each request stands.
type world struct {
	t     *rapid.T
	a     *Admitter
	now   time.Time
	state map[string]Outcome
	next  int
}

// TestEveryRequestEndsOnce drives random events, also with a clock that jumps,
// and checks the bounds that hold whatever comes.
func TestEveryRequestEndsOnce(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC), state: make(map[string]Outcome)}
		w.a = New(Config{Slots: rapid.IntRange(0, 6).Draw(t, "slots"), Policy: checker.AdmissionPolicy{
			QueueLength:  rapid.IntRange(1, 8).Draw(t, "queue"),
			MaxWait:      checker.Duration(5 * time.Second),
			BatchMaxWait: checker.Duration(time.Minute),
			BatchShare:   rapid.Float64Range(0, 1).Draw(t, "share"),
			DemandWindow: checker.Duration(rapid.IntRange(0, 20).Draw(t, "window")) * checker.Duration(time.Second),
		}})
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(-500, 3000).Draw(t, "step")) * time.Millisecond)
			before := w.a.Status(w.now)
			event := rapid.SampledFrom([]func(){w.arrive, w.arrive, w.finish, w.finish, w.cancel, w.resize}).Draw(t, "event")
			event()
			w.apply(w.a.Expire(w.now))
			w.check(before)
		}
	})
}

func (w *world) id() string { return strconv.Itoa(rapid.IntRange(0, w.next).Draw(w.t, "id")) }

func (w *world) arrive() {
	w.next++
	before := w.a.Status(w.now)
	r := Request{ID: strconv.Itoa(w.next), Cost: rapid.Float64Range(-1, 1000).Draw(w.t, "cost")}
	r.Organisation = rapid.SampledFrom([]string{"north", "south", "west"}).Draw(w.t, "organisation")
	r.Weight = rapid.IntRange(0, 4).Draw(w.t, "weight")
	r.Priority = rapid.SampledFrom([]checker.Priority{checker.Interactive, checker.Batch}).Draw(w.t, "priority")
	d := w.a.Arrive(w.now, r)
	w.apply(Effects{Refused: d.Displaced})
	w.state[r.ID] = d.Outcome
	if d.Outcome == Admitted && r.Priority == checker.Batch && before.BatchRunning >= before.BatchSlots {
		w.t.Fatalf("batch got a slot above its share")
	}
}

func (w *world) finish() {
	id := w.id()
	w.apply(w.a.Finish(w.now, id))
	if w.state[id] == Admitted {
		w.state[id] = Refused
	}
}

func (w *world) cancel() {
	id := w.id()
	if w.a.Cancel(w.now, id) != (w.state[id] == Queued) {
		w.t.Fatalf("cancel of %s while %s", id, w.state[id])
	}
	if w.state[id] == Queued {
		w.state[id] = Refused
	}
}

func (w *world) resize() {
	w.apply(w.a.SetCapacity(w.now, rapid.IntRange(0, 6).Draw(w.t, "slots")))
}

func (w *world) apply(e Effects) {
	for _, id := range e.Admitted {
		if w.state[id] != Queued {
			w.t.Fatalf("%s admitted while %s", id, w.state[id])
		}
		w.state[id] = Admitted
	}
	for _, r := range e.Refused {
		if w.state[r.ID] != Queued || !r.Err.RetryAt.After(w.now) {
			w.t.Fatalf("%s refused while %s", r.ID, w.state[r.ID])
		}
		w.state[r.ID] = Refused
	}
}

func (w *world) check(before Status) {
	counts := make(map[Outcome]int)
	for _, o := range w.state {
		counts[o]++
	}
	s := w.a.Status(w.now)
	running := s.InteractiveRunning + s.BatchRunning
	waiting := s.InteractiveWaiting + s.BatchWaiting
	if running != counts[Admitted] || waiting != counts[Queued] || waiting > w.a.policy.QueueLength {
		w.t.Fatalf("status %+v, counted %v", s, counts)
	}
	if running > max(s.Slots, before.InteractiveRunning+before.BatchRunning) {
		w.t.Fatalf("%d run in %d slots", running, s.Slots)
	}
	if s.InteractiveWaiting > 0 && running < s.Slots {
		w.t.Fatalf("interactive work waits beside a free slot: %+v", s)
	}
	if due := w.a.NextDeadline(w.now); !due.IsZero() && !due.After(w.now) {
		w.t.Fatalf("a wait that was due at %s was not ended", due)
	}
}
