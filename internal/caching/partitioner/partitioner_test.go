package partitioner_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/partitioner"
)

// TestOwnership checks that owners do not depend on the order of members, that a
// leaving member moves no other member's families, and that the families are
// distributed evenly.
func TestOwnership(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const families = 20_000
	members := make([]string, 0, 9)
	for i := range 9 {
		members = append(members, fmt.Sprintf("10.0.0.%d:7000", i+1))
	}
	p := partitioner.New(members)
	reversed := slices.Clone(members)
	slices.Reverse(reversed)
	same := partitioner.New(append(reversed, members[0]))
	fewer := partitioner.New(members[1:])
	owned := map[string]int{}
	for f := range hasher.Hash(families) {
		owner := p.Owner(f)
		owned[owner]++
		is.Equal(same.Owner(f), owner) // order and duplicates of members do not matter
		if owner != members[0] {
			is.Equal(fewer.Owner(f), owner) // only the families of the removed member move
		}
	}
	for _, m := range members {
		is.True(owned[m] > families/9*8/10 && owned[m] < families/9*12/10) // within 20 % of an equal distribution
	}
	is.Equal(p.Reader("u"), same.Reader("u"))
	is.Equal(partitioner.New(nil).Owner(1), "")
	is.Equal(len(p.Members()), 9)
}
