package admitter

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

// harness drives an Admitter with random events and tracks the expected state of
// each request.
type harness struct {
	t      *rapid.T
	a      *Admitter
	now    time.Time
	state  map[string]Outcome
	lastID int
}

// TestEveryRequestEndsOnce checks with random events, including backward clock
// steps, that each request changes state only in the permitted order, that the
// queue and slot limits hold, and that no interactive request waits beside a
// free slot.
func TestEveryRequestEndsOnce(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		h := &harness{t: t, now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC), state: make(map[string]Outcome)}
		h.a = New(Config{Slots: rapid.IntRange(0, 6).Draw(t, "slots"), Policy: checker.AdmissionPolicy{
			QueueLength:  rapid.IntRange(1, 8).Draw(t, "queue"),
			MaxWait:      checker.Duration(5 * time.Second),
			BatchMaxWait: checker.Duration(time.Minute),
			BatchShare:   rapid.Float64Range(0, 1).Draw(t, "share"),
			DemandWindow: checker.Duration(rapid.IntRange(0, 20).Draw(t, "window")) * checker.Duration(time.Second),
		}})
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			h.now = h.now.Add(time.Duration(rapid.IntRange(-500, 3000).Draw(t, "step")) * time.Millisecond)
			before := h.a.Status(h.now)
			event := rapid.SampledFrom([]func(){h.arrive, h.arrive, h.finish, h.finish, h.cancel, h.resize}).Draw(t, "event")
			event()
			h.apply(h.a.Expire(h.now))
			h.checkInvariants(before)
		}
	})
}

func (h *harness) id() string { return strconv.Itoa(rapid.IntRange(0, h.lastID).Draw(h.t, "id")) }

func (h *harness) arrive() {
	h.lastID++
	before := h.a.Status(h.now)
	r := Request{ID: strconv.Itoa(h.lastID), Cost: rapid.Float64Range(-1, 1000).Draw(h.t, "cost")}
	r.Organisation = rapid.SampledFrom([]string{"north", "south", "west"}).Draw(h.t, "organisation")
	r.Weight = rapid.IntRange(0, 4).Draw(h.t, "weight")
	r.Priority = rapid.SampledFrom([]checker.Priority{checker.Interactive, checker.Batch}).Draw(h.t, "priority")
	d := h.a.Arrive(h.now, r)
	h.apply(Effects{Refused: d.Displaced})
	h.state[r.ID] = d.Outcome
	if d.Outcome == Admitted && r.Priority == checker.Batch && before.BatchRunning >= before.BatchSlots {
		h.t.Fatalf("batch request admitted although all batch slots are in use")
	}
}

func (h *harness) finish() {
	id := h.id()
	h.apply(h.a.Finish(h.now, id))
	if h.state[id] == Admitted {
		h.state[id] = Refused
	}
}

func (h *harness) cancel() {
	id := h.id()
	if h.a.Cancel(h.now, id) != (h.state[id] == Queued) {
		h.t.Fatalf("Cancel of request %s in state %q: wrong result", id, h.state[id])
	}
	if h.state[id] == Queued {
		h.state[id] = Refused
	}
}

func (h *harness) resize() {
	h.apply(h.a.SetCapacity(h.now, rapid.IntRange(0, 6).Draw(h.t, "slots")))
}

func (h *harness) apply(e Effects) {
	for _, id := range e.Admitted {
		if h.state[id] != Queued {
			h.t.Fatalf("request %s admitted in state %q", id, h.state[id])
		}
		h.state[id] = Admitted
	}
	for _, r := range e.Refused {
		if h.state[r.ID] != Queued || !r.Err.RetryAt.After(h.now) {
			h.t.Fatalf("request %s refused in state %q, or its retry time is not in the future", r.ID, h.state[r.ID])
		}
		h.state[r.ID] = Refused
	}
}

func (h *harness) checkInvariants(before Status) {
	counts := make(map[Outcome]int)
	for _, o := range h.state {
		counts[o]++
	}
	s := h.a.Status(h.now)
	running := s.InteractiveRunning + s.BatchRunning
	waiting := s.InteractiveWaiting + s.BatchWaiting
	if running != counts[Admitted] || waiting != counts[Queued] || waiting > h.a.policy.QueueLength {
		h.t.Fatalf("status %+v does not match the counted states %v, or the queue is too long", s, counts)
	}
	if running > max(s.Slots, before.InteractiveRunning+before.BatchRunning) {
		h.t.Fatalf("%d requests run with %d slots", running, s.Slots)
	}
	if s.InteractiveWaiting > 0 && running < s.Slots {
		h.t.Fatalf("interactive requests wait although a slot is free: %+v", s)
	}
	if due := h.a.NextDeadline(h.now); !due.IsZero() && !due.After(h.now) {
		h.t.Fatalf("NextDeadline is %s, not in the future, after Expire", due)
	}
}
