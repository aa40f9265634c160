package informer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/peering/exchanger"
	"gentianstep.example/gentianstep/internal/peering/relayer"
	"gentianstep.example/gentianstep/internal/testing/piper"
	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/platform/platformtest"
)

// lateRow is a fault of the store towards one VM or all of them, during or after which
// a newer version becomes the desired one.
type lateRow struct {
	Name string `json:"name"`
	// Fault lasts for FaultMillis; with All, it concerns all VMs.
	Fault       platformtest.StoreFault `json:"fault"`
	FaultMillis int                     `json:"fault_ms"`
	All         bool                    `json:"all"`
	// Lose is set if the VM's open connections to the store become silent for good.
	Lose bool `json:"lose"`
	// SetMillis is when the version is set, after the start of the fault.
	SetMillis int `json:"set_ms"`
	// MaxEarlyMillis and MaxLateMillis bound the difference between the time from which
	// the VM counts and that at which the version was set.
	MaxEarlyMillis int `json:"max_early_ms"`
	MaxLateMillis  int `json:"max_late_ms"`
}

// TestWeightsLearnedLateCountFromWhenTheyWereSet guards against a VM that the store does not
// serve and that counts the time for which older weights may be used from when another VM
// or the store told it of the newer ones.
func TestWeightsLearnedLateCountFromWhenTheyWereSet(t *testing.T) {
	t.Parallel()
	var rows []lateRow
	scripter.Read(t, "testdata/late_weights.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runLateRow(t, row) })
		})
	}
}

func runLateRow(t *testing.T, row lateRow) {
	t.Helper()
	is := is.New(t)
	millis := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	network, store := piper.New(), platformtest.NewStore()
	putConfiguration(store, 1, "k1")
	setVersion := func(version int) {
		store.Put("op/version/m", map[string]any{"model": "m", "version": version})
	}
	setVersion(1)
	vms := []*vm{startVM(t, network, store, 0, 3), startVM(t, network, store, 1, 3), startVM(t, network, store, 2, 3)}
	defer func() {
		for _, v := range vms {
			v.stop()
		}
		network.Close()
	}()
	time.Sleep(5100 * time.Millisecond)
	for n, v := range vms {
		if row.Fault != platformtest.StoreHealthy && (n == 0 || row.All) {
			v.door.SetFault(row.Fault)
			time.AfterFunc(millis(row.FaultMillis), func() { v.door.SetFault(platformtest.StoreHealthy) })
		}
	}
	if row.Lose {
		network.Lose(fmt.Sprintf("%s-%d", storeAddress, 0), false)
	}
	time.Sleep(millis(row.SetMillis))
	setAt := time.Now()
	setVersion(2)
	time.Sleep(8 * time.Second)
	for n, v := range vms {
		is.Equal(v.informer.DesiredWeights()["m"].Version, uint64(2))
		late := v.informer.DesiredWeights()["m"].Since.Sub(setAt)
		t.Logf("VM %d counts from %v after the version was set", n, late)
		is.True(late <= millis(row.MaxLateMillis))
		is.True(late >= -millis(row.MaxEarlyMillis))
	}
}

func TestWeightsAgesThatNoVMSendsAreRefused(t *testing.T) {
	t.Parallel()
	var rows []struct {
		Name string `json:"name"`
		Age  struct {
			Model     string `json:"model"`
			Version   uint64 `json:"version"`
			AgeMillis int64  `json:"age_ms"`
		} `json:"age"`
		Valid bool `json:"valid"`
	}
	scripter.Read(t, "testdata/weights_ages.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			age := informer.WeightsAge{Model: row.Age.Model, Version: row.Age.Version, AgeMillis: row.Age.AgeMillis}
			is.Equal(age.Check() == nil, row.Valid)
			is.Equal(relayer.News{WeightsAges: []informer.WeightsAge{age}}.Check() == nil, row.Valid)
			is.Equal(exchanger.Response{WeightsAges: []informer.WeightsAge{age}}.Check() == nil, row.Valid)
		})
	}
}
