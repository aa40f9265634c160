package relayer_test

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/platform"
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

// TestEntriesAheadOfRelayAfterRestore guards against entries that a restore of the store
// undid, and that stay on a VM which knew of them before its relay did.
func TestEntriesAheadOfRelayAfterRestore(t *testing.T) {
	t.Parallel()
	for _, prefix := range []string{platform.OperatorPrefix, platform.UpstreamPrefix, vmPrefix} {
		t.Run(prefix, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runRestoreAheadOfRelay(t, prefix) })
		})
	}
}

func runRestoreAheadOfRelay(t *testing.T, prefix string) {
	is := is.New(t)
	f := startFleet(t, 10)
	f.store.StartEra(1)
	overwritten, removed, added := prefix+"overwritten", prefix+"removed", prefix+"added"
	f.store.Put(overwritten, entryValue("before"))
	f.store.Put(removed, entryValue("before"))
	time.Sleep(5 * time.Second)
	older := f.store.Copy()
	f.vms[0].door.SetFault(platformtest.Unresponsive)
	synctest.Wait() // its watches have ended
	f.store.Put(overwritten, entryValue("after"))
	f.store.Remove(removed)
	f.store.Put(added, entryValue("after"))
	time.Sleep(maxAge + 100*time.Millisecond)
	for _, v := range f.vms[relays:] {
		is.True(v.has(added, "after")) // ahead of the relay
		v.door.SetFault(platformtest.Unresponsive)
	}
	f.vms[0].door.SetFault(platformtest.StoreHealthy)
	f.store.Restore(older, 100*time.Millisecond)
	time.Sleep(applyTime)
	for _, v := range f.vms {
		is.True(v.has(overwritten, "before"))
		is.True(v.has(removed, "before"))
		_, ok := v.informer.Entry(added)
		is.True(!ok)
	}
}

func (v *vm) has(key, value string) bool {
	entry, ok := v.informer.Entry(key)
	return ok && bytes.Equal(entry.Value, entryValue(value))
}

// entryValue returns a value that all replicas keep, also among those of upstreams.
func entryValue(service string) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":"10.1.0.1:80","zone":"z","version":"v1","slots":4,"state":"ready","cold_remaining_ms":0,"sequence":1}`, service)
}
