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
	// latestOrder is how late the platform carries out an order at most.
	latestOrder = 12 * time.Second
	// mostIdle is how long an engine may be left out in all while it does nothing:
	// the bound of a call, the age of a report, and as much again for the notices.
	mostIdle = 1500 * time.Millisecond
)

// strike lets one thing happen.
func (d *deployment) strike() {
	n := d.rng.IntN(len(d.vms))
	w := d.workers[d.rng.IntN(len(d.workers))]
	switch d.rng.IntN(6) {
	case 0:
		d.name()
	case 1: // one VM is turned away for a while
		faults := []platformtest.StoreFault{platformtest.Silent, platformtest.Busy, platformtest.Reset, platformtest.Lost, platformtest.Late}
		door := d.vms[n].door
		door.Set(faults[d.rng.IntN(len(faults))])
		time.AfterFunc(time.Duration(1+d.rng.IntN(5))*time.Second, func() { door.Set(platformtest.Sound) })
	case 2: // one VM is replaced
		d.vms[n].stop()
		d.start(n)
	case 3: // orders take effect without an answer
		w.LoseNextOrders(1 + d.rng.IntN(2))
	case 4: // an engine starts again under its ID
		w.Restart()
	case 5: // orders are carried out late
		w.DelayNextOrders(1+d.rng.IntN(2), time.Duration(2+d.rng.IntN(11))*time.Second)
	}
}

// checkOrders checks what each engine accepted: numbers never go back, and no
// two VMs share one.
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
				d.t.Fatalf("%s and %s used fencing number %d", other, holder, fence)
			}
			holders[key] = holder
			if fence < last {
				d.t.Fatalf("fencing number %d after %d at %s: %s", fence, last, w.ID, strings.Join(w.Orders(), ", "))
			}
			last = fence
		}
	}
}

func (d *deployment) checkVersions() {
	d.t.Helper()
	for _, w := range d.workers {
		if got := w.Version(model); got != d.newest() {
			d.t.Fatalf("%s has version %d, %d is wanted", w.ID, got, d.newest())
		}
	}
}

// seeds is the number of seeds to play: ROLLOUT_SEEDS where that is set.
func seeds() uint64 {
	n, err := strconv.ParseUint(os.Getenv("ROLLOUT_SEEDS"), 10, 32)
	if err != nil {
		return 40
	}
	return n
}

// TestRollOutsUnderFaults plays random faults with fixed seeds.
func TestRollOutsUnderFaults(t *testing.T) {
	t.Parallel()
	for seed := range seeds() {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, seed, 3, 6)
				for n := range d.vms {
					d.start(n)
				}
				d.name()
				for range 25 {
					time.Sleep(time.Duration(d.rng.IntN(900)) * time.Millisecond)
					d.strike()
					d.checkOrders()
				}
				for _, v := range d.vms {
					v.door.Set(platformtest.Sound)
				}
				for _, w := range d.workers {
					w.LoseNextOrders(0)
					w.DelayNextOrders(0, 0)
				}
				time.Sleep(latestOrder) // the faults are over
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

// TestOrdersThatAreCarriedOutLate leaves the first order to each engine without
// an answer until long after. The roll-out has to end in its time, and engines
// that do nothing must not be left out for long.
func TestOrdersThatAreCarriedOutLate(t *testing.T) {
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
		d.name()
		named, idle := time.Now(), make(map[string]time.Duration)
		const look = 20 * time.Millisecond
		for time.Since(named) < weightsApply {
			time.Sleep(look)
			d.mu.Lock()
			for _, w := range d.workers {
				if d.changing[w.ID] && !w.Changing() {
					idle[w.ID] += look
				}
			}
			d.mu.Unlock()
		}
		d.checkVersions()
		for id, took := range idle {
			if took > mostIdle {
				t.Errorf("%s was left out for %s while it did nothing", id, took)
			}
		}
		time.Sleep(3 * weightsApply) // the late orders come, and change nothing
		d.checkOrders()
		for _, w := range d.workers {
			if len(w.Orders()) != 1 {
				t.Errorf("%s carried out %v", w.ID, w.Orders())
			}
		}
	})
}
