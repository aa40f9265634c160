package chooser

import (
	"sync"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

// rotation selects the upstreams of each plain service by round robin, preferring
// those in the router's region.
type rotation struct {
	mu     sync.Mutex
	counts map[string]int // calls by service
}

func newRotation() *rotation {
	return &rotation{counts: make(map[string]int)}
}

// next returns the next upstream of s for which accept returns true, and the
// reason of the decision. The last result is false if there is none.
func (r *rotation) next(bundle *checker.Bundle, s checker.Service, region string, accept func(string) bool) (checker.Upstream, string, bool) {
	var local, remote []checker.Upstream
	for _, name := range s.Upstreams {
		u, ok := bundle.Upstream(name)
		switch {
		case !ok || !accept(name):
		case u.Region == region:
			local = append(local, u)
		default:
			remote = append(remote, u)
		}
	}
	n := r.incrementCount(s.Name)
	switch {
	case len(local) > 0:
		return local[n%len(local)], "next_in_region", true
	case len(remote) > 0:
		return remote[n%len(remote)], "next_in_other_region", true
	}
	return checker.Upstream{}, "no_candidate", false
}

// incrementCount counts a call of a service and returns the number of earlier
// calls.
func (r *rotation) incrementCount(service string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.counts[service]
	r.counts[service] = n + 1
	return n
}
