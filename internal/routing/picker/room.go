package picker

import (
	"math/rand/v2"
	"time"
)

const (
	// scarceShare is the share of all places at upstreams below which the free ones are
	// divided among the VMs.
	scarceShare = 0.25
	// maxRoomAge is the time after which the room is divided again, also if the loads of the
	// other VMs have not changed.
	maxRoomAge = 250 * time.Millisecond
)

// room is this VM's part of the places that are free at upstreams. The zero value divides
// nothing.
//
// Load: engines that are full to a limit of all VMs together. If each VM sends a request to the
// first engine that has a place, an engine gets as many requests as there are VMs in the time
// until they see each other's loads.
type room struct {
	// places is the number of requests that this VM may still send.
	places int
	// loadsAt identifies the loads that were divided, and dividedAt is when.
	loadsAt   time.Time
	dividedAt time.Time
	scarce    bool
}

// divide updates the room for a number of free places out of all, as of the loads known now.
func (r *room) divide(now time.Time, rng *rand.Rand, q Query, free, all int) {
	r.scarce = q.OtherVMs > 0 && !q.LoadsAt.IsZero() && float64(free) < scarceShare*float64(all)
	if !r.scarce {
		r.loadsAt = time.Time{}
		return
	}
	if r.loadsAt.Equal(q.LoadsAt) && now.Sub(r.dividedAt) < maxRoomAge {
		return
	}
	r.loadsAt, r.dividedAt = q.LoadsAt, now
	vms := q.OtherVMs + 1
	r.places = free / vms
	if rng.IntN(vms) < free%vms {
		r.places++
	}
}

// taken reports whether this VM has used its part.
func (r *room) taken() bool { return r.scarce && r.places <= 0 }

// take uses a place.
func (r *room) take() { r.places-- }

// giveBack returns the place of a request of this VM that has ended, which the other VMs see
// later.
func (r *room) giveBack() {
	if r.scarce {
		r.places++
	}
}
