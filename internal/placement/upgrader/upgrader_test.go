package upgrader_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gentianstep.example/gentianstep/platform/platformtest"
)

const (
	model        = "m"
	storeAddress = "10.9.0.1:80"
	weightsApply = 8 * time.Second
	loadTime     = 500 * time.Millisecond
	leaseKey     = "lease"
	leaseTTL     = 2 * time.Second
	// orderTimeout is the time for which the orders of two holders are kept apart.
	orderTimeout = 3 * time.Second
	// maxOrderDelay is the longest delay after which an order is carried out.
	maxOrderDelay = 12 * time.Second
	// maxIdle is the total time for which an engine may be excluded from serving
	// while it is not changing its weights: the timeout of a call, the age of a
	// report, and as much again for the notices to the other VMs.
	maxIdle = 1500 * time.Millisecond
)

// injectEvent publishes a version or injects one random fault.
func (d *deployment) injectEvent() {
	n := d.rng.IntN(len(d.vms))
	w := d.workers[d.rng.IntN(len(d.workers))]
	switch d.rng.IntN(8) {
	case 0:
		d.publishVersion()
	case 1: // the store fails for one VM for a while
		faults := []platformtest.StoreFault{platformtest.Unresponsive, platformtest.Unavailable, platformtest.ConnectionReset, platformtest.WriteResponseLost, platformtest.WriteDelayed}
		door := d.vms[n].door
		door.SetFault(faults[d.rng.IntN(len(faults))])
		time.AfterFunc(time.Duration(1+d.rng.IntN(5))*time.Second, func() { door.SetFault(platformtest.StoreHealthy) })
	case 2: // one VM restarts
		d.vms[n].stop()
		d.start(n)
	case 3: // orders take effect, but their responses are lost
		w.LoseNextOrders(1 + d.rng.IntN(2))
	case 4: // an engine restarts with the same ID
		w.Restart()
	case 5: // orders are carried out late
		w.DelayNextOrders(1+d.rng.IntN(2), time.Duration(2+d.rng.IntN(11))*time.Second)
	case 6: // the store is restored from the last copy
		d.store.Restore(d.copied, time.Duration(d.rng.IntN(500))*time.Millisecond)
	case 7: // a copy of the store is made
		d.copied = d.store.Copy()
	}
}

// checkOrders checks the orders that each engine accepted: fencing numbers
// never decrease, and no two VMs use the same one.
func (d *deployment) checkOrders() {
	d.t.Helper()
	holders := make(map[string]string)
	for _, w := range d.workers {
		last := uint64(0)
		for _, order := range w.Orders() {
			var holder string
			var fence, version uint64
			if _, err := fmt.Sscan(order, &holder, &fence, &version); err != nil {
				d.t.Fatal(err)
			}
			key := fmt.Sprint(fence)
			if other, ok := holders[key]; ok && other != holder {
				d.t.Fatalf("%s and %s both used fencing number %d", other, holder, fence)
			}
			holders[key] = holder
			if fence < last {
				d.t.Fatalf("fencing number decreased to %d after %d at %s: %s", fence, last, w.ID, strings.Join(w.Orders(), ", "))
			}
			last = fence
		}
	}
}

func (d *deployment) checkVersions() {
	d.t.Helper()
	for _, w := range d.workers {
		if got := w.Version(model); got != d.wantedVersion() {
			d.t.Fatalf("%s has version %d, want %d", w.ID, got, d.wantedVersion())
		}
	}
}

// seeds returns the number of seeds to run: the value of ROLLOUT_SEEDS, or 40
// if it is not set.
func seeds() uint64 {
	n, err := strconv.ParseUint(os.Getenv("ROLLOUT_SEEDS"), 10, 32)
	if err != nil {
		return 40
	}
	return n
}

// TestRollOutsUnderFaults injects random faults, with fixed seeds, while
// versions are rolled out. All engines must reach the wanted version once the
// faults end.
func TestRollOutsUnderFaults(t *testing.T) {
	t.Parallel()
	for seed := range seeds() {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, seed, 3, 6)
				d.store.StartEra(1)
				d.copied = d.store.Copy()
				for n := range d.vms {
					d.start(n)
				}
				d.publishVersion()
				for range 25 {
					time.Sleep(time.Duration(d.rng.IntN(900)) * time.Millisecond)
					d.injectEvent()
					d.checkOrders()
				}
				for _, v := range d.vms {
					v.door.SetFault(platformtest.StoreHealthy)
				}
				for _, w := range d.workers {
					w.LoseNextOrders(0)
					w.DelayNextOrders(0, 0)
				}
				time.Sleep(maxOrderDelay) // all delayed orders are carried out by then
				time.Sleep(12 * time.Second)
				d.checkOrders()
				d.checkVersions()
				for _, v := range d.vms {
					v.stop()
				}
				d.network.Close()
			})
		})
	}
}

// TestDelayedOrders delays the first order to each engine, without a response,
// until long after the roll-out. The roll-out must still complete in its time
// limit, and engines that are not changing must not be excluded from serving
// for long.
func TestDelayedOrders(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1, 1, 6)
		for _, w := range d.workers {
			w.DelayNextOrders(1, 2*weightsApply)
		}
		d.start(0)
		defer d.network.Close()
		defer d.vms[0].stop()
		time.Sleep(time.Second)
		d.publishVersion()
		published, idle := time.Now(), make(map[string]time.Duration)
		const sampleInterval = 20 * time.Millisecond
		for time.Since(published) < weightsApply {
			time.Sleep(sampleInterval)
			d.mu.Lock()
			for _, w := range d.workers {
				if d.changing[w.ID] && !w.IsLoading() {
					idle[w.ID] += sampleInterval
				}
			}
			d.mu.Unlock()
		}
		d.checkVersions()
		for id, took := range idle {
			if took > maxIdle {
				t.Errorf("%s was excluded from serving for %s while it was not changing", id, took)
			}
		}
		time.Sleep(3 * weightsApply) // the delayed orders arrive and must have no effect
		d.checkOrders()
		for _, w := range d.workers {
			if len(w.Orders()) != 1 {
				t.Errorf("%s accepted orders %v, want exactly one", w.ID, w.Orders())
			}
		}
	})
}
