package picker

import (
	"math/rand/v2"
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
)

const (
	// scarceShare is the share of the places of an upstream, or of all, below which the free
	// ones are divided among the VMs.
	scarceShare = 0.25
	// maxRoomAge is the time after which the room is divided again, also if the loads of the
	// other VMs have not changed.
	maxRoomAge = 250 * time.Millisecond
)

// room is this VM's part of the places that are free at upstreams of one kind. The zero value
// divides nothing.
//
// Load: engines that are full to a limit of all VMs together. If each VM sends a request to the
// first engine that has a place, an engine gets as many requests as there are VMs in the time
// until they see each other's loads.
type room struct {
	// places holds the numbers of requests that this VM may still send to the upstreams whose
	// places are divided.
	places map[string]int
	// loadsAt identifies the loads that were divided, and dividedAt is when.
	loadsAt   time.Time
	dividedAt time.Time
}

// divide updates the room as of the loads known now. free returns the number of free places of
// an upstream and of all its places.
func (r *room) divide(now time.Time, rng *rand.Rand, q Query, candidates []*registrar.Upstream, free func(*registrar.Upstream) (free, all int)) {
	if q.OtherVMs <= 0 || q.LoadsAt.IsZero() {
		r.places = nil
		return
	}
	if r.loadsAt.Equal(q.LoadsAt) && now.Sub(r.dividedAt) < maxRoomAge {
		return
	}
	r.loadsAt, r.dividedAt = q.LoadsAt, now
	r.places = make(map[string]int)
	sumFree, sumAll := 0, 0
	for _, u := range candidates {
		f, a := free(u)
		sumFree, sumAll = sumFree+f, sumAll+a
	}
	scarce := isScarce(sumFree, sumAll)
	vms := q.OtherVMs + 1
	for _, u := range candidates {
		f, a := free(u)
		if !scarce && !isScarce(f, a) {
			continue
		}
		r.places[u.ID] = f / vms
		if rng.IntN(vms) < f%vms {
			r.places[u.ID]++
		}
	}
}

func isScarce(free, all int) bool { return float64(free) < scarceShare*float64(all) }

// taken reports whether this VM has used its part of an upstream.
func (r *room) taken(id string) bool {
	places, divided := r.places[id]
	return divided && places <= 0
}

// add changes the number of requests that this VM may still send to an upstream: one less for
// one that is sent, one more for one that has ended, whose place the other VMs see later.
func (r *room) add(id string, n int) {
	if places, divided := r.places[id]; divided {
		r.places[id] = places + n
	}
}
