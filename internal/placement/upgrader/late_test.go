package upgrader_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// publishLate makes a new version the wanted one that was published some time ago.
func (d *deployment) publishLate(ago time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wanted = append(d.wanted, informer.Weights{Version: uint64(len(d.wanted) + 2), Since: time.Now().Add(-ago)})
}

// TestLateRollOutOrdersAllEnginesInTime guards against a roll-out that begins late and
// still changes a third of the engines at once: requests in the queues of the others
// would begin on old weights after the limit. An engine refuses them from its order on.
func TestLateRollOutOrdersAllEnginesInTime(t *testing.T) {
	t.Parallel()
	var rows []struct {
		Name string `json:"name"`
		// LateBy is the share of the time allowed that has passed when the orders begin.
		LateBy  float64 `json:"late_by"`
		Engines int     `json:"engines"`
		LoadMS  int     `json:"load_ms"`
	}
	scripter.Read(t, "testdata/late.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := newDeployment(t, 1, 1, row.Engines)
				for _, w := range d.workers {
					w.LoadTime = time.Duration(row.LoadMS) * time.Millisecond
				}
				d.start(0)
				defer d.network.Close()
				defer d.vms[0].stop()
				time.Sleep(5 * time.Second) // time for the VM to acquire the lease
				late := time.Duration(row.LateBy * float64(weightsApply))
				d.publishLate(late)
				time.Sleep(weightsApply - late)
				ordered := 0
				for _, w := range d.workers {
					ordered += len(w.Orders())
				}
				is.Equal(ordered, row.Engines) // each engine has its order in time
			})
		})
	}
}
