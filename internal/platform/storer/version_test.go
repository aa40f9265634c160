package storer_test

import (
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/platform/storer"
)

func TestVersionsAreOrderedByEra(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	before, after := storer.Version{Era: 1, Revision: 100}, storer.Version{Era: 2, Revision: 95}
	is.True(after.After(before))
	is.True(!before.After(after))
	is.True(!before.After(before))
	is.True(storer.Version{Era: 1, Revision: 101}.After(before))
	is.Equal(before.Compare(storer.Version{Era: 1, Revision: 100}), 0)
}
