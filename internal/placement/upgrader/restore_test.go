package upgrader_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestRollOutAfterRestoreOfStore guards against holders whose fencing numbers fall when
// the store is restored from an older copy: engines refuse the orders of a lower number,
// and two VMs may order with the same one.
func TestRollOutAfterRestoreOfStore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1, 3, 6)
		d.store.StartEra(1)
		older := d.store.Copy()
		for range 50 {
			d.store.Put("op/other", []byte("value")) // revisions that are assigned again
		}
		for n := range d.vms {
			d.start(n)
			defer d.vms[n].stop()
		}
		defer d.network.Close()
		for range 3 {
			time.Sleep(5 * time.Second)
			d.publishVersion()
			time.Sleep(weightsApply)
			d.checkVersions()
			d.store.Restore(older, 300*time.Millisecond)
			d.publishVersion()
			time.Sleep(weightsApply)
			d.checkVersions()
			d.checkOrders()
		}
	})
}
