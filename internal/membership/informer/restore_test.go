package informer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/piper"
	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/platform/platformtest"
)

// restoreRow is a series of restores of a store.
type restoreRow struct {
	Name     string  `json:"name"`
	FirstEra uint64  `json:"first_era"`
	Drills   []drill `json:"drills"`
}

// drill is a restore from a copy of an age, after which the operator writes again.
type drill struct {
	AgeMS          int `json:"age_ms"`
	AwayMS         int `json:"away_ms"`
	WrittenAgainMS int `json:"written_again_ms"`
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// run restores the store from a copy that lacks a number of writes.
func (d drill) run(store *platformtest.Store) {
	const lostWrites = 40
	older := store.Copy()
	for n := range lostWrites {
		store.Put("op/version/lost", map[string]any{"model": "lost", "version": n + 1})
	}
	time.Sleep(milliseconds(d.AgeMS))
	store.Restore(older, milliseconds(d.AwayMS))
	time.Sleep(milliseconds(d.WrittenAgainMS))
}

func putWeights(store *platformtest.Store, version int) {
	store.Put("op/version/m", map[string]any{"model": "m", "version": version})
}

// TestWeightsNamedAfterRestoreReachAllVMs guards against VMs that ignore what is written
// at revisions which the store had assigned before it was restored from an older copy.
func TestWeightsNamedAfterRestoreReachAllVMs(t *testing.T) {
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
	network, store := piper.New(), platformtest.NewStore()
	store.StartEra(row.FirstEra)
	version := 1
	putConfiguration(store, version, "k")
	putWeights(store, version)
	vms := make([]*vm, 0, 3)
	defer network.Close()
	for n := range cap(vms) {
		v := startVM(t, network, store, n, 3)
		defer v.stop()
		vms = append(vms, v)
	}
	time.Sleep(3 * time.Second)
	vms[2].door.SetFault(platformtest.Unresponsive)
	for _, d := range row.Drills {
		d.run(store)
		version++
		putConfiguration(store, version, "k")
		putWeights(store, version)
		time.Sleep(2500 * time.Millisecond) // the bound of a configuration
		for _, v := range vms[:2] {
			is.Equal(v.version(), uint64(version))
			is.Equal(v.informer.DesiredWeights()["m"].Version, uint64(version))
		}
		time.Sleep(5 * time.Second) // the bound without the store
		is.Equal(vms[2].version(), uint64(version))
		is.Equal(vms[2].informer.DesiredWeights()["m"].Version, uint64(version))
	}
}
