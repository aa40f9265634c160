package upgrader_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/placement/leaser"
	"gentianstep.example/gentianstep/internal/placement/upgrader"
	"gentianstep.example/gentianstep/platform"
)

// TestRollOutWithoutFaults checks that a roll-out without faults completes in
// half of the time allowed, sends one order to each engine and never changes
// more than a third of the engines at once.
func TestRollOutWithoutFaults(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1, 3, 18)
		for n := range d.vms {
			d.start(n)
		}
		time.Sleep(5 * time.Second) // time for one VM to acquire the lease
		d.publishVersion()
		published := time.Now()
		most := 0
		for time.Since(published) < weightsApply/2 {
			time.Sleep(20 * time.Millisecond)
			changing := 0
			for _, w := range d.workers {
				if w.IsLoading() {
					changing++
				}
			}
			most = max(most, changing)
		}
		d.checkVersions() // half of the time allowed
		if most == 0 || most > 6 {
			t.Fatalf("%d of 18 engines changed at once, want 1 to 6", most)
		}
		for _, w := range d.workers {
			if n := len(w.Orders()); n != 1 {
				t.Fatalf("%s accepted %d orders, want 1", w.ID, n)
			}
		}
		for _, v := range d.vms {
			v.stop()
		}
		d.network.Close()
	})
}

// TestSingleEngineIsUpgraded guards against a roll-out that waits for a second
// replica when the deployment has a single engine.
func TestSingleEngineIsUpgraded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1, 1, 1)
		d.start(0)
		d.publishVersion()
		time.Sleep(weightsApply / 2)
		d.checkVersions()
		d.vms[0].stop()
		d.network.Close()
	})
}

// expiringHolder holds a lease that expires at a given time.
type expiringHolder struct{ end time.Time }

// Holding implements upgrader.Holder.
func (e expiringHolder) Holding(now time.Time) (leaser.Lease, bool) {
	return leaser.Lease{Fencing: 7, Deadline: e.end}, now.Before(e.end)
}

// TestNoOrderAfterLeaseExpires lets the lease expire between a plan and the
// sending of its orders. No order may be sent then.
func TestNoOrderAfterLeaseExpires(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1, 1, 3)
		d.publishVersion()
		transport := &http.Transport{DialContext: d.network.Dial}
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		ctx, stop := context.WithCancel(t.Context())
		var loop sync.WaitGroup
		up := upgrader.New(upgrader.Config{
			Node: "vm", Directory: d, Lease: expiringHolder{time.Now().Add(250 * time.Millisecond)},
			Engines:      platform.EngineClient{HTTPClient: &http.Client{Transport: transport}, OrderClient: &http.Client{Transport: transport}},
			OnLease:      func() {},
			OnChange:     func(*registrar.Upstream, bool, map[string]uint64) {},
			InFlight:     func() map[string]int { return nil },
			WeightsApply: weightsApply, EnginesCheckFencing: true, Log: logrus.NewEntry(logger),
		})
		loop.Go(func() { up.Run(ctx) })
		time.Sleep(3 * time.Second)
		for _, w := range d.workers {
			if n := len(w.Orders()); n != 0 {
				t.Errorf("%s accepted %d orders after the lease expired, want 0", w.ID, n)
			}
		}
		stop()
		loop.Wait()
		transport.CloseIdleConnections()
		d.network.Close()
	})
}
