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

// script is one test case: members set at times after the start, and the controllers
// that own at least one key after each step.
type script struct {
	Name  string
	Steps []struct {
		At      checker.Duration
		Members []string
		Owners  []string
	}
}

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// controllers parses entries of a one-letter name, a one-digit incarnation and
// optionally the state leaving, as in "a1 leaving".
func controllers(entries []string) []Controller {
	list := make([]Controller, 0, len(entries))
	for _, e := range entries {
		word, _, leaving := strings.Cut(e, " ")
		list = append(list, Controller{Name: word[:1], Incarnation: uint64(word[1] - '0'), Leaving: leaving})
	}
	return list
}

// owners returns the controllers that own at least one of 200 families.
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
				is.Equal(owners(a), step.Owners) // controllers that own at least one family
			}
		})
	}
}

// fleet returns n controllers spread over 3 regions.
func fleet(n int) []Controller {
	list := make([]Controller, 0, n)
	for i := range n {
		list = append(list, Controller{Name: fmt.Sprintf("vm-%d", i), Region: fmt.Sprintf("region-%d", i%3), Incarnation: 1})
	}
	return list
}

// TestMinimalMovement checks that the removal of a controller changes the owner of
// its own keys only, and that upstreams stay with a controller of their region if
// one is left.
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

// TestEvenSpread checks that rendezvous hashing distributes the families evenly over
// 410 controllers.
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
	t.Logf("most families of one owner: %.2f times the mean", float64(highest)/(families/410.0))
	is.New(t).True(highest < 2*families/410) // every owner has less than twice the mean
}

func TestHandover(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := NewHandoverTracker()
	h.SetOwners(start, map[string]string{"u": "a"})
	started := h.SetOwners(start.Add(time.Minute), map[string]string{"u": "b"})
	is.Equal(started, []Handover{{Key: "u", From: "a", To: "b", Until: start.Add(time.Minute + handoverPeriod)}})
	is.True(h.MayAnswer(start.Add(time.Minute), "u", "b"))                 // new owner at once
	is.True(h.MayAnswer(start.Add(time.Minute), "u", "a"))                 // previous owner during the handover
	is.True(!h.MayAnswer(start.Add(time.Minute+handoverPeriod), "u", "a")) // previous owner after the handover
	is.Equal(len(h.SetOwners(start.Add(2*time.Minute), h.owners)), 0)      // unchanged owners start no handover
	is.Equal(len(h.handovers), 0)                                          // ended handover is removed
}
