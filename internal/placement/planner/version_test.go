package planner_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/placement/planner"
)

// TestFamilyMovesToTheWantedVersionOnce guards against a prefix family that
// switches back to the previous version during a roll-out.
func TestFamilyMovesToTheWantedVersionOnce(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := checker.Model{Name: "a", WeightsVersion: "w2", PreviousWeightsVersion: "w1"}
		engines := rapid.IntRange(1, 50).Draw(t, "engines")
		family := rapid.Uint64().Draw(t, "family")
		moved := false
		for wanted := range engines + 1 {
			ready := map[string]int{"w2": wanted, "w1": engines - wanted, "w0": 9}
			pinned := planner.PinVersion(m, ready, family)
			if !slices.Contains(planner.ServableVersions(m, ready), pinned) {
				t.Fatalf("pinned to %s with %v ready", pinned, ready)
			}
			if moved && pinned != "w2" {
				t.Fatalf("switched back to %s with %v ready", pinned, ready)
			}
			moved = pinned == "w2"
		}
		if !moved || planner.PinVersion(m, nil, family) != "w2" {
			t.Fatal("family does not end on the wanted version")
		}
	})
}

// TestShortLoadPeaksMoveNoEngine guards against engines that move back and
// forth with short load peaks: an engine moves only after an imbalance that
// lasts for the minimum dwell time, and only one moves per dwell time.
func TestShortLoadPeaksMoveNoEngine(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	in := planner.Input{
		Models: []checker.Model{{Name: "a", WeightsVersion: "w1", MinReplicas: 1}, {Name: "b", WeightsVersion: "w1", MinReplicas: 1}},
		Policy: checker.PlacementPolicy{MaxLoads: 3, MinDwell: checker.Duration(30 * time.Second)},
	}
	for _, name := range []string{"e1", "e2", "e3", "e4"} {
		model := "a"
		if name == "e4" {
			model = "b"
		}
		in.Engines = append(in.Engines, planner.Engine{Upstream: name, Incarnation: 1, Allowed: []string{"a", "b"}, Ready: []planner.ModelVersion{{Model: model, WeightsVersion: "w1"}}})
	}
	p := planner.New()
	moved := make([]string, 0, 1)
	for second := range 100 {
		in.Engines[3].Load = 0
		if second%40 < 20 || second >= 50 {
			in.Engines[3].Load = 80 // peaks shorter than MinDwell, then a lasting one
		}
		for i := range in.Engines {
			in.Engines[i].SeenAt = now
		}
		in.Deadline = now.Add(time.Second)
		for _, o := range p.Plan(now, in) {
			is.True(second >= 70) // no move during a short peak
			moved = append(moved, o.Upstream)
			i := slices.IndexFunc(in.Engines, func(e planner.Engine) bool { return e.Upstream == o.Upstream })
			in.Engines[i].Ready = []planner.ModelVersion{o.ModelVersion}
		}
		now = now.Add(time.Second)
	}
	is.Equal(len(moved), 1)
}
