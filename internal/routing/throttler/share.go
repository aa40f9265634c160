package throttler

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// spareSenders is the number of VMs that share a limit beyond one for each request a second.
//
// The share of a VM is at least one request at any time, so that VMs without a hub send
// as many at once as there are of them. The number of VMs that use a limit is bounded for
// that, and others send nothing.
const spareSenders = 3

// Fleet is the VMs that share the limits of upstreams. The zero value has no VM.
type Fleet struct {
	own   string
	nodes []string
}

// NewFleet returns the fleet of a VM and all VMs in its directory. own is empty for none.
func NewFleet(own string, nodes []string) Fleet {
	nodes = slices.Clone(nodes)
	slices.Sort(nodes)
	return Fleet{own: own, nodes: slices.Compact(nodes)}
}

// NewUnnamedFleet returns the fleet of a VM for which only the number of VMs is given.
func NewUnnamedFleet(own string, n int) Fleet {
	nodes := []string{own}
	for i := 1; i < n; i++ {
		nodes = append(nodes, "\x00"+strconv.Itoa(i))
	}
	return NewFleet(own, nodes)
}

// Equal reports whether two fleets have the same VMs.
func (f Fleet) Equal(other Fleet) bool {
	return f.own == other.own && slices.Equal(f.nodes, other.nodes)
}

// size returns the number of VMs, at least 1.
func (f Fleet) size() int { return max(len(f.nodes), 1) }

// senders returns the VMs that use a limit of a process while there is no hub. They are
// the same on all VMs that know the same ones, and change little with the VMs.
func (f Fleet) senders(p Process, perSecond float64) []string {
	n := spareSenders + int(min(perSecond, float64(len(f.nodes))))
	if n >= len(f.nodes) {
		return f.nodes
	}
	ranks := make(map[string]uint64, len(f.nodes))
	for _, node := range f.nodes {
		ranks[node] = xxhash.Sum64String(p.Upstream + "\x00" + node)
	}
	senders := slices.Clone(f.nodes)
	slices.SortFunc(senders, func(a, b string) int { return cmp.Compare(ranks[a], ranks[b]) })
	return senders[:n]
}

// share returns the rate of requests that the fleet's own VM may send to a process while
// it has no hub.
func (f Fleet) share(p Process, perSecond float64) float64 {
	senders := f.senders(p, perSecond)
	if !slices.Contains(senders, f.own) {
		return 0
	}
	return perSecond / float64(len(senders))
}

// connectedShare returns the part of a limit with these senders that is left for the VMs
// that have a hub, of which connected holds the names.
func connectedShare(senders []string, connected map[string]bool) float64 {
	if len(senders) == 0 {
		return 1 // no VM is known that could do without the hub
	}
	n := 0
	for _, node := range senders {
		if connected[node] {
			n++
		}
	}
	return float64(n) / float64(len(senders))
}
