package assigner

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

type script struct {
	Name  string
	Steps []struct {
		At      checker.Duration
		Members []string
		Owners  []string
	}
}

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// controllers reads entries such as "a1 leaving": name, incarnation, state.
func controllers(entries []string) []Controller {
	list := make([]Controller, 0, len(entries))
	for _, e := range entries {
		word, _, leaving := strings.Cut(e, " ")
		list = append(list, Controller{Name: word[:1], Incarnation: uint64(word[1] - '0'), Leaving: leaving})
	}
	return list
}

// owners returns everyone who owns at least one of many families.
func owners(a *Assigner) []string {
	found := []string{}
	for i := range 200 {
		owner := a.OwnerOfFamily(fmt.Sprint(i))
		if owner != "" && !slices.Contains(found, owner) {
			found = append(found, owner)
		}
	}
	slices.Sort(found)
	return found
}

func TestScripts(t *testing.T) {
	t.Parallel()
	var scripts []script
	scripter.Read(t, "testdata/scripts.json", &scripts)
	for _, s := range scripts {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			a := New(start, Config{Self: "s"})
			for _, step := range s.Steps {
				now := start.Add(step.At.Std())
				if step.Members != nil {
					a.SetMembers(now, controllers(step.Members))
				}
				a.Tick(now)
				is.Equal(owners(a), step.Owners) // who owns anything
			}
		})
	}
}

func fleet(n int) []Controller {
	list := make([]Controller, 0, n)
	for i := range n {
		list = append(list, Controller{Name: fmt.Sprintf("vm-%d", i), Region: fmt.Sprintf("region-%d", i%3), Incarnation: 1})
	}
	return list
}

// TestMinimalMovement removes one controller and expects that only what it
// owned moves, and that its region keeps its upstreams.
func TestMinimalMovement(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		members := fleet(rapid.IntRange(2, 60).Draw(t, "size"))
		gone := rapid.IntRange(0, len(members)-1).Draw(t, "gone")
		before, after := New(start, Config{}), New(start, Config{})
		before.SetMembers(start, members)
		after.SetMembers(start, slices.Delete(slices.Clone(members), gone, gone+1))
		for i := range 300 {
			name := fmt.Sprint(i)
			region := fmt.Sprintf("region-%d", i%4)
			from, to := before.OwnerOfUpstream(name, region), after.OwnerOfUpstream(name, region)
			left := slices.ContainsFunc(members, func(c Controller) bool { return c.Region == region && c.Name != members[gone].Name })
			if from != members[gone].Name && from != to {
				t.Fatalf("upstream %s moved from %s to %s", name, from, to)
			}
			if at := slices.IndexFunc(members, func(c Controller) bool { return c.Name == to }); left && members[at].Region != region {
				t.Fatalf("upstream %s of %s went to %s", name, region, to)
			}
			if from, to := before.OwnerOfFamily(name), after.OwnerOfFamily(name); from != members[gone].Name && from != to {
				t.Fatalf("family %s moved from %s to %s", name, from, to)
			}
		}
	})
}

func TestEvenSpread(t *testing.T) {
	t.Parallel()
	a := New(start, Config{Self: "s"})
	a.SetMembers(start, fleet(410))
	counts := make(map[string]int)
	const families = 100_000
	for i := range families {
		counts[a.OwnerOfFamily(fmt.Sprint(i))]++
	}
	highest := 0
	for _, n := range counts {
		highest = max(highest, n)
	}
	t.Logf("highest %.2f of the mean", float64(highest)/(families/410.0))
	is.New(t).True(highest < 2*families/410) // no owner has twice the mean
}

func TestHandover(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := NewLedger()
	l.Update(start, map[string]string{"u": "a"})
	moved := l.Update(start.Add(time.Minute), map[string]string{"u": "b"})
	is.Equal(moved, []Handover{{Key: "u", From: "a", To: "b", Until: start.Add(time.Minute + handover)}})
	is.True(l.Answers(start.Add(time.Minute), "u", "b"))           // the new owner at once
	is.True(l.Answers(start.Add(time.Minute), "u", "a"))           // the former one as well
	is.True(!l.Answers(start.Add(time.Minute+handover), "u", "a")) // until the handover ends
	is.Equal(len(l.Update(start.Add(2*time.Minute), l.owners)), 0) // nothing moves twice
	is.Equal(len(l.passed), 0)                                     // the handover is forgotten
}
