package informer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// overwrittenRow is a script of what a VM receives while two versions are named. The
// first one is overwritten before the VM learns of it.
type overwrittenRow struct {
	Name  string           `json:"name"`
	Steps []suspensionStep `json:"steps"`
	At    int              `json:"at_ms"`
	// MinAge and MaxAge bound the time for which version 1 counts as older, NewestAge
	// is the most that version 3 counts as wanted.
	MinAge    int `json:"min_age_ms"`
	MaxAge    int `json:"max_age_ms"`
	NewestAge int `json:"newest_age_ms"`
}

// TestOverwrittenVersionCounts guards against a VM that was interrupted while two versions
// were named, learns only of the second, and uses weights that are older than the first for
// as long as if there had been none.
func TestOverwrittenVersionCounts(t *testing.T) {
	t.Parallel()
	var rows []overwrittenRow
	scripter.Read(t, "testdata/overwritten.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			v := newSuspendableVM()
			for _, s := range row.Steps {
				v.runUntil(time.Hour + millis(s.At))
				v.do(s)
			}
			v.runUntil(time.Hour + millis(row.At))
			var age time.Duration
			for _, w := range v.DesiredWeightsHistory("m") {
				if w.Version > 1 {
					age = max(age, v.now.Sub(w.Since))
				}
			}
			t.Logf("age %v", age)
			is.True(age >= millis(row.MinAge))
			is.True(age <= millis(row.MaxAge))
			newest := v.DesiredWeights()["m"]
			is.Equal(newest.Version, uint64(3))
			is.True(v.now.Sub(newest.Since) <= millis(row.NewestAge))
		})
	}
}
