package ranker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/membership/announcer"
	"gentianstep.example/gentianstep/internal/membership/ranker"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

func TestRank(t *testing.T) {
	t.Parallel()
	var rows []struct {
		Name  string   `json:"name"`
		VMs   []string `json:"vms"`
		Order []string `json:"order"`
	}
	scripter.Read(t, "testdata/ranks.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var vms []announcer.VM
			for _, text := range row.VMs {
				var vm announcer.VM
				_, err := fmt.Sscan(text, &vm.Node, &vm.LinkBytesPerSecond, &vm.Processors)
				is.NoErr(err)
				vms = append(vms, vm)
			}
			for _, vm := range vms {
				is.Equal(row.Order[ranker.Rank(vm, vms)], vm.Node)
				is.True(ranker.AcquireDelay(ranker.Rank(announcer.VM{Node: "other"}, vms)) >= time.Second) // it may know few VMs
			}
		})
	}
}

// TestAcquireDelay has hundreds of VMs whose lease becomes free. Few may try at the
// same time, and the last ones must not wait for all others.
func TestAcquireDelay(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.Equal(ranker.AcquireDelay(0), time.Duration(0))
	before := time.Duration(0)
	for rank := 1; rank < 300; rank++ {
		delay := ranker.AcquireDelay(rank)
		is.True(delay > 0)
		is.True(delay <= 4*time.Second)
		if rank < 20 {
			is.True(delay >= before+50*time.Millisecond)
		}
		before = delay
	}
}

// TestRelays has a region of VMs named a-0, a-1, ... in order of falling capacity, beside
// another region of as many.
func TestRelays(t *testing.T) {
	t.Parallel()
	var rows []struct {
		Name    string `json:"name"`
		VMs     int    `json:"vms"`
		Own     string `json:"own"`
		Hub     string `json:"hub"`
		Relays  int    `json:"relays"`
		IsRelay bool   `json:"is_relay"`
	}
	scripter.Read(t, "testdata/relays.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var vms []announcer.VM
			for _, zone := range []string{"a", "b"} {
				for n := range row.VMs {
					vms = append(vms, announcer.VM{Node: fmt.Sprintf("%s-%d", zone, n), AvailabilityZone: zone, LinkBytesPerSecond: float64(1000 - n), Processors: 1})
				}
			}
			relays, isRelay := ranker.Relays(ranker.RelayQuery{
				Own:     announcer.VM{Node: row.Own, AvailabilityZone: "a"},
				VMs:     vms,
				Regions: map[string]string{"a": "west", "b": "east"},
				Hub:     row.Hub,
			})
			is.Equal(len(relays), row.Relays)
			is.Equal(isRelay, row.IsRelay)
			for _, vm := range relays {
				is.Equal(vm.AvailabilityZone, "a")
				is.True(vm.Node != row.Hub)
				is.True(ranker.Rank(vm, vms) < 2*(row.Relays+1)) // one of the most capable
			}
		})
	}
}
