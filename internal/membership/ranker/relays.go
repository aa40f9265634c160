package ranker

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"gentianstep.example/gentianstep/internal/membership/announcer"
)

const (
	// minRelayedVMs is the number of VMs of a region from which one of them follows the
	// store for the others. Relays call the store more often than a VM that follows it
	// for itself alone.
	minRelayedVMs = 6
	// vmsPerRelay is the number of VMs of a region for each of which there is a relay.
	// While one is lost, its VMs follow the store themselves.
	vmsPerRelay = 48
)

// RelayQuery describes the choice of a region's relays.
type RelayQuery struct {
	Own announcer.VM
	VMs []announcer.VM
	// Regions maps availability zones to regions.
	Regions map[string]string
	// Hub is the node that has other work for all VMs.
	Hub string
}

// Relays returns the VMs that follow the store for the others of the own region, those
// to prefer first. It is empty if the region is small. isRelay is true if the own VM is
// one of them.
func Relays(q RelayQuery) (relays []announcer.VM, isRelay bool) {
	var region []announcer.VM
	for _, vm := range q.VMs {
		if q.Regions[vm.AvailabilityZone] == q.Regions[q.Own.AvailabilityZone] && vm.Node != q.Hub {
			region = append(region, vm)
		}
	}
	if len(region) < minRelayedVMs {
		return nil, false
	}
	slices.SortFunc(region, func(a, b announcer.VM) int {
		if precedes(a, b) {
			return -1
		}
		return 1
	})
	relays = region[:(len(region)+vmsPerRelay-1)/vmsPerRelay]
	for _, vm := range relays {
		if vm.Node == q.Own.Node {
			return relays, true
		}
	}
	// Spreads the subscribers over the relays.
	first := int(xxhash.Sum64String(q.Own.Node) % uint64(len(relays)))
	return slices.Concat(relays[first:], relays[:first]), false
}
