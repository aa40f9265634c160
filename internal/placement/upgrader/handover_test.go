package upgrader_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/platform/platformtest"
)

// endHolder ends the holder's lease in one of several ways.
func (d *deployment) endHolder(is *is.I, how string) {
	v := d.vms[d.holder()]
	switch how {
	case "cut_off":
		v.door.SetFault(platformtest.Unresponsive)
	case "stop":
		v.stop()
	case "end_lease":
		entry, err := d.client.Get(context.Background(), leaseKey)
		is.NoErr(err)
		is.NoErr(d.client.Revoke(context.Background(), storer.Lease{ID: entry.LeaseID, Era: entry.Era}))
	default:
		is.Fail()
	}
}

// fencing returns the fencing number of the holder, 0 if there is none.
func (d *deployment) fencing() uint64 {
	for _, v := range d.vms {
		if lease, held := v.lease.Holding(time.Now()); held {
			return lease.Fencing
		}
	}
	return 0
}

// checkTurns checks that orders of two holders arrive at no engine within orderTimeout,
// and returns the time of the first order after t.
func (d *deployment) checkTurns(is *is.I, t time.Time) time.Time {
	first := time.Time{}
	for _, w := range d.workers {
		last := platformtest.OrderArrival{}
		for _, a := range w.OrderArrivals() {
			if last.Holder != "" && last.Holder != a.Holder {
				is.True(a.At.Sub(last.At) >= orderTimeout) // holders do not take turns
			}
			last = a
			if a.At.After(t) && (first.IsZero() || a.At.Before(first)) {
				first = a.At
			}
		}
	}
	return first
}

// TestNewHolderOrdersSoonAfterPriorOrders guards against a new holder that leaves
// engines without orders for longer than the orders of the holder before can arrive, and
// against one that orders before that. Versions are published all the time, so that both
// have orders to give.
func TestNewHolderOrdersSoonAfterPriorOrders(t *testing.T) {
	t.Parallel()
	var rows []struct {
		Name        string `json:"name"`
		How         string `json:"how"`
		LateOrders  bool   `json:"late_orders"`
		MaxNoOrders int    `json:"max_no_orders_ms"`
	}
	scripter.Read(t, "testdata/handovers.json", &rows)
	for _, row := range rows {
		for seed := range seeds() / 10 {
			t.Run(fmt.Sprintf("%s, seed %d", row.Name, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					d := newDeployment(t, seed, 3, 6)
					d.ignoreFencing, d.watchLease = true, true
					for n := range d.vms {
						d.start(n)
						defer d.vms[n].stop()
					}
					defer d.network.Close()
					for _, w := range d.workers {
						w.IgnoresFencing = true
					}
					d.publishFor(10*time.Second, row.LateOrders)
					d.publishFor(time.Duration(d.rng.IntN(2000))*time.Millisecond, row.LateOrders)
					old := d.fencing()
					d.endHolder(is, row.How)
					for n := old; n == old || n == 0; n = d.fencing() {
						d.publishFor(20*time.Millisecond, row.LateOrders)
					}
					takenAt := time.Now()
					d.publishFor(10*time.Second, row.LateOrders)
					first := d.checkTurns(is, takenAt)
					is.True(first.Sub(takenAt) <= time.Duration(row.MaxNoOrders)*time.Millisecond) // engines get orders again
					for _, w := range d.workers {
						w.DelayNextOrders(0, 0)
					}
					time.Sleep(maxOrderDelay + weightsApply)
					d.checkTurns(is, takenAt)
					d.checkVersions()
				})
			})
		}
	}
}

// publishFor publishes versions for a time, and delays some orders if late is set.
func (d *deployment) publishFor(period time.Duration, late bool) {
	for end := time.Now().Add(period); time.Now().Before(end); {
		d.publishVersion()
		if late {
			w := d.workers[d.rng.IntN(len(d.workers))]
			w.DelayNextOrders(1, time.Duration(2+d.rng.IntN(11))*time.Second)
		}
		time.Sleep(min(time.Duration(200+d.rng.IntN(400))*time.Millisecond, time.Until(end)))
	}
}
