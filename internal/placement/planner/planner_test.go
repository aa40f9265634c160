package planner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/placement/planner"
)

// sentOrder is an order that has not reached its engine yet.
type sentOrder struct {
	planner.Order
	deadline time.Time
}

// region simulates the engines of a region that carry out orders.
type region struct {
	now     time.Time
	models  []checker.Model
	policy  checker.PlacementPolicy
	engines []planner.Engine
	silent  map[string]bool
	inbox   []sentOrder
	planner *planner.Planner
}

func newRegion(t *rapid.T) *region {
	r := &region{
		now:     time.Unix(1_700_000_000, 0),
		silent:  make(map[string]bool),
		planner: planner.New(),
		policy: checker.PlacementPolicy{
			MaxLoads:     rapid.IntRange(1, 3).Draw(t, "max_loads"),
			MinDwell:     checker.Duration(30 * time.Second),
			OrderTimeout: checker.Duration(5 * time.Second),
		},
	}
	names := []string{"a", "b"}[:rapid.IntRange(1, 2).Draw(t, "models")]
	for _, name := range names {
		r.models = append(r.models, checker.Model{Name: name, WeightsVersion: "w1", MinReplicas: rapid.IntRange(1, 2).Draw(t, "min")})
	}
	for i := range rapid.IntRange(2, 6).Draw(t, "engines") {
		r.engines = append(r.engines, planner.Engine{Upstream: fmt.Sprintf("e%d", i), Incarnation: 1, Allowed: names, SeenAt: r.now})
	}
	return r
}

func (r *region) loading() int {
	n := 0
	for _, e := range r.engines {
		n += len(e.Loading)
	}
	return n
}

func (r *region) ready(m checker.Model) int {
	n := 0
	for _, e := range r.engines {
		if slices.ContainsFunc(e.Ready, func(l planner.ModelVersion) bool {
			return l.Model == m.Name && slices.Contains(planner.AllowedVersions(m), l.WeightsVersion)
		}) {
			n++
		}
	}
	return n
}

// plan adds the planner's orders to the inbox. Observations of silent engines
// are not refreshed.
func (r *region) plan() {
	for i := range r.engines {
		if !r.silent[r.engines[i].Upstream] {
			r.engines[i].SeenAt = r.now
		}
	}
	in := planner.Input{Models: r.models, Policy: r.policy, Engines: slices.Clone(r.engines), Deadline: r.now.Add(5 * time.Second)}
	for _, o := range r.planner.Plan(r.now, in) {
		r.inbox = append(r.inbox, sentOrder{Order: o, deadline: in.Deadline})
	}
}

// deliver carries out the oldest order in the inbox. If lost is true, the
// planner does not receive the outcome.
func (r *region) deliver(t *rapid.T, lost bool) {
	if len(r.inbox) == 0 {
		return
	}
	o := r.inbox[0]
	r.inbox = r.inbox[1:]
	i := slices.IndexFunc(r.engines, func(e planner.Engine) bool { return e.Upstream == o.Upstream })
	e := &r.engines[i]
	if e.Incarnation != o.Incarnation || r.now.After(o.deadline) {
		r.planner.RecordOutcome(r.now, o.Order, planner.Refused)
		return
	}
	before := make(map[string]int)
	for _, m := range r.models {
		before[m.Name] = r.ready(m)
	}
	e.Ready = slices.DeleteFunc(slices.Clone(e.Ready), func(l planner.ModelVersion) bool {
		return l.Model == o.Model || slices.Contains(o.Replace, l)
	})
	if o.Action == planner.LoadModel {
		e.Loading = append(slices.Clone(e.Loading), o.ModelVersion)
	}
	for _, m := range r.models {
		if before[m.Name] > 0 && r.ready(m) == 0 {
			t.Fatalf("order %q removed the last replica of %s", o, m.Name)
		}
	}
	if !lost {
		r.planner.RecordOutcome(r.now, o.Order, planner.Accepted)
	}
}

func (r *region) finishLoads(all bool) {
	for i := range r.engines {
		e := &r.engines[i]
		if len(e.Loading) > 0 {
			e.Ready = append(slices.Clone(e.Ready), e.Loading...)
			e.Loading = nil
			if !all {
				return
			}
		}
	}
}

// settle runs the region without faults for long enough to converge.
func (r *region) settle(t *rapid.T) {
	clear(r.silent)
	for range 40 {
		r.now = r.now.Add(8 * time.Second)
		r.plan()
		for len(r.inbox) > 0 {
			r.deliver(t, false)
		}
		r.check(t)
		r.finishLoads(true)
	}
}

func (r *region) check(t *rapid.T) {
	if r.loading() > r.policy.MaxLoads {
		t.Fatalf("got %d simultaneous loads, want at most %d", r.loading(), r.policy.MaxLoads)
	}
}

// TestPlanKeepsReplicasAndLoadLimit checks random sequences of plans,
// deliveries, lost outcomes and roll-outs. No order may remove the last ready
// replica of a model, and the limit of simultaneous loads must hold.
func TestPlanKeepsReplicasAndLoadLimit(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		r := newRegion(t)
		r.settle(t)
		version := 1
		t.Repeat(map[string]func(*rapid.T){
			"plan":         func(*rapid.T) { r.plan() },
			"deliver":      func(t *rapid.T) { r.deliver(t, false) },
			"deliver lost": func(t *rapid.T) { r.deliver(t, true) },
			"finish":       func(*rapid.T) { r.finishLoads(false) },
			"wait":         func(t *rapid.T) { r.now = r.now.Add(time.Duration(rapid.IntRange(1, 4).Draw(t, "s")) * time.Second) },
			"load": func(t *rapid.T) {
				r.engines[rapid.IntRange(0, len(r.engines)-1).Draw(t, "i")].Load = rapid.IntRange(0, 90).Draw(t, "n")
			},
			"roll out": func(*rapid.T) {
				r.inbox = nil // orders based on an older bundle are not sent
				m := &r.models[0]
				version++
				m.PreviousWeightsVersion, m.WeightsVersion = m.WeightsVersion, fmt.Sprintf("w%d", version)
			},
			"": func(t *rapid.T) { r.check(t) },
		})
		r.settle(t)
		for _, e := range r.engines {
			for _, l := range e.Ready {
				i := slices.IndexFunc(r.models, func(m checker.Model) bool { return m.Name == l.Model })
				if l.WeightsVersion != r.models[i].WeightsVersion && len(r.engines) > 2*len(r.models) {
					t.Fatalf("%s still serves %v", e.Upstream, l)
				}
			}
		}
	})
}
