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

// TestCalmRollOutIsQuickAndGradual looks at each moment of a roll-out.
func TestCalmRollOutIsQuickAndGradual(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1, 3, 18)
		for n := range d.vms {
			d.start(n)
		}
		time.Sleep(5 * time.Second) // a holder is found
		d.name()
		named := time.Now()
		most := 0
		for time.Since(named) < weightsApply/2 {
			time.Sleep(20 * time.Millisecond)
			changing := 0
			for _, w := range d.workers {
				if w.Changing() {
					changing++
				}
			}
			most = max(most, changing)
		}
		d.checkVersions() // in half of the time
		if most == 0 || most > 6 {
			t.Fatalf("%d of 18 engines changed at once", most)
		}
		for _, w := range d.workers {
			if n := len(w.Orders()); n != 1 {
				t.Fatalf("%s was given %d orders", w.ID, n)
			}
		}
		for _, v := range d.vms {
			v.stop()
		}
		d.network.Close()
	})
}

// TestLastEngineIsChangedToo has one engine, which nobody can stand in for.
func TestLastEngineIsChangedToo(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1, 1, 1)
		d.start(0)
		d.name()
		time.Sleep(weightsApply / 2)
		d.checkVersions()
		d.vms[0].stop()
		d.network.Close()
	})
}

// expiring is a lease that ends at a time.
type expiring struct{ end time.Time }

// Holding implements upgrader.Holder.
func (e expiring) Holding(now time.Time) (leaser.Holding, bool) {
	return leaser.Holding{Fencing: 7, Deadline: e.end}, now.Before(e.end)
}

// TestNoOrderAfterTheLease ends the lease between a plan and its orders.
func TestNoOrderAfterTheLease(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1, 1, 3)
		d.name()
		transport := &http.Transport{DialContext: d.network.Dial}
		quiet := logrus.New()
		quiet.SetOutput(io.Discard)
		ctx, stop := context.WithCancel(t.Context())
		var loop sync.WaitGroup
		up := upgrader.New(upgrader.Config{
			Node: "vm", Directory: d, Lease: expiring{time.Now().Add(250 * time.Millisecond)},
			Engines:      platform.Engines{HTTP: &http.Client{Transport: transport}},
			OnLease:      func() {},
			OnChange:     func(*registrar.Upstream, bool, map[string]uint64) {},
			Loads:        func() map[string]int { return nil },
			WeightsApply: weightsApply, CheckedFencing: true, Log: logrus.NewEntry(quiet),
		})
		loop.Go(func() { up.Run(ctx) })
		time.Sleep(3 * time.Second)
		for _, w := range d.workers {
			if n := len(w.Orders()); n != 0 {
				t.Errorf("%s was given %d orders after the lease", w.ID, n)
			}
		}
		stop()
		loop.Wait()
		transport.CloseIdleConnections()
		d.network.Close()
	})
}
