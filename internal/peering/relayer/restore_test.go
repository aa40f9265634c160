package relayer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/platform/platformtest"
)

// restoreRow is a series of restores of a store.
type restoreRow struct {
	Name     string `json:"name"`
	FirstEra uint64 `json:"first_era"`
	Drills   []struct {
		AgeMS          int `json:"age_ms"`
		AwayMS         int `json:"away_ms"`
		WrittenAgainMS int `json:"written_again_ms"`
	} `json:"drills"`
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func (f *fleet) putWeights(version int) {
	f.store.Put("op/version/m", map[string]any{"model": "m", "version": version})
}

// TestRelayedChangesAfterRestore guards against VMs that ignore what a relay sends at
// revisions which the store had assigned before it was restored from an older copy.
func TestRelayedChangesAfterRestore(t *testing.T) {
	t.Parallel()
	var rows []restoreRow
	scripter.Read(t, "testdata/restores.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runRestores(t, row) })
		})
	}
}

func runRestores(t *testing.T, row restoreRow) {
	is := is.New(t)
	f := startFleet(t, 10)
	f.store.StartEra(row.FirstEra)
	version := 1
	f.putWeights(version)
	time.Sleep(5 * time.Second)
	for _, v := range f.vms[relays:] {
		v.door.SetFault(platformtest.Unresponsive)
	}
	for _, d := range row.Drills {
		older := f.store.Copy()
		for n := range 40 {
			f.store.Put("op/version/lost", map[string]any{"model": "lost", "version": n + 1})
		}
		time.Sleep(milliseconds(d.AgeMS))
		f.store.Restore(older, milliseconds(d.AwayMS))
		time.Sleep(milliseconds(d.WrittenAgainMS))
		version++
		f.putConfiguration(version)
		f.putWeights(version)
		time.Sleep(applyTime)
		for _, v := range f.vms {
			is.Equal(v.version(), uint64(version))
			is.Equal(v.informer.DesiredWeights()["m"].Version, uint64(version))
		}
	}
}
