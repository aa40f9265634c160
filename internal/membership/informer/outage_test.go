package informer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/piper"
	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/platform/platformtest"
)

const (
	// stableAfter is the time after an outage from which the store counts as stable, and
	// drainLimit the time in which an upstream must get no new requests from then on.
	stableAfter = 3 * time.Second
	drainLimit  = 2500 * time.Millisecond
	// writtenAgainAfter is the time after an outage within which live upstreams write
	// entries again that expired during it.
	writtenAgainAfter = 1900 * time.Millisecond
	// phases is the number of times within a watch at which an outage starts.
	phases     = 20
	phaseWidth = 110 * time.Millisecond
)

// outageRow is an outage during which calls to the store get no response, also if the
// store is back before they end.
type outageRow struct {
	Name     string `json:"name"`
	OutageMS int    `json:"outage_ms"`
	// Expires is true if the entry of an upstream expires during the outage.
	Expires bool `json:"expires"`
}

// TestUpstreamsAfterSilentOutage guards against upstreams that leave after an outage and
// are used for too long, and against ones that are dropped before they can register again.
func TestUpstreamsAfterSilentOutage(t *testing.T) {
	t.Parallel()
	var rows []outageRow
	scripter.Read(t, "testdata/outages.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			for n := range phases {
				synctest.Test(t, func(t *testing.T) { runOutage(t, row, time.Duration(n)*phaseWidth) })
			}
		})
	}
}

func runOutage(t *testing.T, row outageRow, phase time.Duration) {
	t.Helper()
	is := is.New(t)
	network, store := piper.New(), platformtest.NewStore()
	defer network.Close()
	putConfiguration(store, 1, "k1")
	leaves, lives := platformtest.NewWorker("leaves"), platformtest.NewWorker("lives")
	write := func(w *platformtest.Worker, address string) { store.Put(w.Key(), w.Entry("s", address, "z", 4)) }
	write(leaves, "10.1.0.1:80")
	write(lives, "10.1.0.2:80")
	v := startVM(t, network, store, 0, 1)
	defer v.stop()
	time.Sleep(5*time.Second + phase)
	address := fmt.Sprintf("%s-%d", storeAddress, 0)
	network.Lose(address, true)
	time.Sleep(time.Duration(row.OutageMS) * time.Millisecond)
	if row.Expires {
		store.Remove(lives.Key())
	}
	network.Lose(address, false)
	back := time.Now()
	for time.Since(back) < stableAfter {
		is.Equal(len(v.informer.Usable("s")), 2)
		time.Sleep(10 * time.Millisecond)
		if row.Expires && time.Since(back) == writtenAgainAfter {
			write(lives, "10.1.0.2:80")
		}
	}
	store.Remove(leaves.Key())
	time.Sleep(drainLimit)
	usable := v.informer.Usable("s")
	is.Equal(len(usable), 1)
	is.Equal(usable[0].ID, "lives")
}
