// Package ranker orders the VMs of a deployment by their capacity, for work that
// one VM does for all others. It does no I/O and reads no clock.
package ranker

import (
	"math"
	"math/rand/v2"
	"time"

	"gentianstep.example/gentianstep/internal/membership/announcer"
)

const (
	// rankDelay is the time that a VM leaves to each VM of higher rank to acquire a
	// free lease. Other VMs see within about that time that it was acquired.
	rankDelay = 100 * time.Millisecond
	// maxRankDelay bounds the sum, since the VMs of higher rank may all be gone. The
	// VMs that reach it try at random times within as long again.
	maxRankDelay = 2 * time.Second
)

// Rank returns the number of VMs that precede own. It is unranked if own is not one of
// them, since few of the others may be known then either.
func Rank(own announcer.VM, vms []announcer.VM) int {
	rank, found := 0, false
	for _, vm := range vms {
		switch {
		case vm.Node == own.Node:
			found = true
		case precedes(vm, own):
			rank++
		}
	}
	if !found {
		return unranked
	}
	return rank
}

// unranked is the rank of a VM whose place is not known.
const unranked = math.MaxInt32

// precedes reports whether a has more capacity than b. Equal ones are ordered by
// their names, so that all VMs agree.
func precedes(a, b announcer.VM) bool {
	if capacity(a) != capacity(b) {
		return capacity(a) > capacity(b)
	}
	return a.Node < b.Node
}

// capacity combines link rate and processors in one figure. Work for all other VMs
// needs both, so that a VM which lacks one of them ranks low.
func capacity(vm announcer.VM) float64 { return vm.LinkBytesPerSecond * vm.Processors }

// AcquireDelay returns how long a VM of a rank leaves a free lease to the VMs of
// higher rank.
func AcquireDelay(rank int) time.Duration {
	if rank >= int(maxRankDelay/rankDelay) {
		return maxRankDelay + rand.N(maxRankDelay)
	}
	return time.Duration(rank) * rankDelay
}
