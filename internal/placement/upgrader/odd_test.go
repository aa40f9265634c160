package upgrader_test

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// TestRollOutWithOddEntries checks that all engines get new weights in half of the time
// allowed while entries of another writer name engines that aren't there.
func TestRollOutWithOddEntries(t *testing.T) {
	t.Parallel()
	var rows []struct {
		Name string `json:"name"`
		// Count entries name engines, at Address or at addresses of their own if empty.
		Count     int    `json:"count"`
		Address   string `json:"address"`
		Weights   uint64 `json:"weights"`
		Orders    uint64 `json:"orders"`
		Slots     int    `json:"slots"`
		StartedMS int64  `json:"started_ms"`
	}
	scripter.Read(t, "testdata/odd_entries.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, 1, 3, 9)
				for n := range row.Count {
					u := &registrar.Upstream{
						ID: fmt.Sprintf("odd%d", n), Service: "s", Slots: row.Slots, Orders: row.Orders, Address: address(100 + n),
						Weights: map[string]uint64{model: row.Weights}, StartedAt: time.UnixMilli(row.StartedMS),
					}
					if row.Address != "" {
						u.Address = netip.MustParseAddrPort(row.Address)
					}
					d.odd = append(d.odd, u)
				}
				for n := range d.vms {
					d.start(n)
				}
				time.Sleep(5 * time.Second) // time for one VM to acquire the lease
				for range 2 {
					d.publishVersion()
					if most := d.mostLoading(weightsApply / 2); most > 3 {
						t.Errorf("%d of 9 engines changed at once, want at most 3", most)
					}
					d.checkVersions()
				}
				for _, v := range d.vms {
					v.stop()
				}
				d.network.Close()
			})
		})
	}
}

// mostLoading returns the largest number of engines that load weights at once in a period.
func (d *deployment) mostLoading(period time.Duration) int {
	most := 0
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		loading := 0
		for _, w := range d.workers {
			if w.IsLoading() {
				loading++
			}
		}
		most = max(most, loading)
	}
	return most
}
