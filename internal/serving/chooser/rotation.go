package chooser

import (
	"sync"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

// rotation takes the upstreams of each plain service in turn, those of the
// router's own region first.
type rotation struct {
	mu    sync.Mutex
	turns map[string]int
}

func newRotation() *rotation {
	return &rotation{turns: make(map[string]int)}
}

// next returns the next upstream of s that is accepted, with the reason
// for it. The last result is false where none is left.
func (r *rotation) next(bundle *checker.Bundle, s checker.Service, region string, accept func(string) bool) (checker.Upstream, string, bool) {
	var near, far []checker.Upstream
	for _, name := range s.Upstreams {
		u, ok := bundle.Upstream(name)
		switch {
		case !ok || !accept(name):
		case u.Region == region:
			near = append(near, u)
		default:
			far = append(far, u)
		}
	}
	turn := r.turn(s.Name)
	switch {
	case len(near) > 0:
		return near[turn%len(near)], "next_in_region", true
	case len(far) > 0:
		return far[turn%len(far)], "next_in_other_region", true
	}
	return checker.Upstream{}, "no_candidate", false
}

// turn counts the calls of a service.
func (r *rotation) turn(service string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	turn := r.turns[service]
	r.turns[service] = turn + 1
	return turn
}
