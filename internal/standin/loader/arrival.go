package loader

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Arrival is one request of an open-loop load.
type Arrival struct {
	// At is the time since the start of the load.
	At           time.Duration
	Organisation int
	// Path is the branch taken at each level.
	Path []int
	// Tail tells this request from all others.
	Tail  uint64
	Batch bool
	// Flood marks a request of an organisation's flood.
	Flood     bool
	MaxTokens int
	// Router is the place of the router that the balancer chose.
	Router int
}

// maker makes the arrivals of one load.
type maker struct {
	workload      Workload
	random        *rand.Rand
	organisations *rand.Zipf
	branches      []*rand.Zipf
}

func newMaker(w Workload, seed uint64) *maker {
	random := rand.New(rand.NewPCG(seed, seed))
	m := &maker{workload: w, random: random}
	m.organisations = rand.NewZipf(random, w.OrganisationSkew, 1, uint64(w.Organisations-1))
	for _, level := range w.Levels {
		m.branches = append(m.branches, rand.NewZipf(random, level.Skew, 1, uint64(level.Branches-1)))
	}
	return m
}

// Arrivals returns the requests of duration at rate requests a second, with
// exponential times between them.
func Arrivals(w Workload, seed uint64, rate float64, duration time.Duration, routers int) []Arrival {
	m := newMaker(w, seed)
	var list []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			return list
		}
		list = append(list, m.arrival(at, routers))
	}
}

// Flood adds the requests of one organisation at rate requests a second to a
// load, each arrival in its place in time.
func Flood(w Workload, seed uint64, list []Arrival, organisation int, rate float64, duration time.Duration, routers int) []Arrival {
	extra := Arrivals(w, seed+1, rate, duration, routers)
	for i := range extra {
		extra[i].Organisation = organisation
		extra[i].Flood = true
	}
	all := append(slices.Clone(list), extra...)
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}

func (m *maker) arrival(at time.Duration, routers int) Arrival {
	w := m.workload
	a := Arrival{
		At:           at,
		Organisation: int(m.organisations.Uint64()),
		Tail:         m.random.Uint64(),
		MaxTokens:    w.MaxTokens,
	}
	shift := int(at / w.ShiftInterval)
	for i, level := range w.Levels {
		branch := int(m.branches[i].Uint64())
		a.Path = append(a.Path, (branch+shift)%level.Branches)
	}
	a.Router = m.router(a, routers)
	if m.random.Float64() < w.BatchShare {
		a.Batch = true
		a.MaxTokens = w.BatchMaxTokens
	}
	return a
}

// router returns the place of the router that the caller reaches. Routers
// stand in the regions in turn.
func (m *maker) router(a Arrival, routers int) int {
	w := m.workload
	regions := len(w.Regions)
	if m.random.Float64() >= w.HomeShare || routers < regions {
		return m.random.IntN(routers)
	}
	home := a.Path[w.HomeLevel] % regions
	inRegion := (routers - home + regions - 1) / regions
	return home + regions*m.random.IntN(inRegion)
}
