package loader

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Arrival describes one request of an open-loop load and when it is sent.
type Arrival struct {
	// At is the time of the request since the start of the load.
	At           time.Duration
	Organisation int
	// Path holds the branch chosen at each level of shared prefixes.
	Path []int
	// Tail identifies the part of the prompt that is unique to this request.
	Tail  uint64
	Batch bool
	// Flood marks a request added by Flood.
	Flood     bool
	MaxTokens int
	// Router is the index of the router that the load balancer chose.
	Router int
}

// arrivalGenerator generates the arrivals of one load.
type arrivalGenerator struct {
	workload      Workload
	random        *rand.Rand
	organisations *rand.Zipf
	branches      []*rand.Zipf
}

func newArrivalGenerator(w Workload, seed uint64) *arrivalGenerator {
	random := rand.New(rand.NewPCG(seed, seed))
	g := &arrivalGenerator{workload: w, random: random}
	g.organisations = rand.NewZipf(random, w.OrganisationSkew, 1, uint64(w.Organisations-1))
	for _, level := range w.Levels {
		g.branches = append(g.branches, rand.NewZipf(random, level.Skew, 1, uint64(level.Branches-1)))
	}
	return g
}

// Arrivals returns the requests of a load with the given duration and mean rate in
// requests per second. Inter-arrival times are exponentially distributed.
func Arrivals(w Workload, seed uint64, rate float64, duration time.Duration, routers int) []Arrival {
	g := newArrivalGenerator(w, seed)
	var list []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			return list
		}
		list = append(list, g.arrival(at, routers))
	}
}

// Flood adds requests of one organisation to a load, at the given mean rate in
// requests per second. The result is sorted by time.
func Flood(w Workload, seed uint64, list []Arrival, organisation int, rate float64, duration time.Duration, routers int) []Arrival {
	flood := Arrivals(w, seed+1, rate, duration, routers)
	for i := range flood {
		flood[i].Organisation = organisation
		flood[i].Flood = true
	}
	all := append(slices.Clone(list), flood...)
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}

func (g *arrivalGenerator) arrival(at time.Duration, routers int) Arrival {
	w := g.workload
	a := Arrival{
		At:           at,
		Organisation: int(g.organisations.Uint64()),
		Tail:         g.random.Uint64(),
		MaxTokens:    w.MaxTokens,
	}
	shift := int(at / w.ShiftInterval)
	for i, level := range w.Levels {
		branch := int(g.branches[i].Uint64())
		a.Path = append(a.Path, (branch+shift)%level.Branches)
	}
	a.Router = g.chooseRouter(a, routers)
	if g.random.Float64() < w.BatchShare {
		a.Batch = true
		a.MaxTokens = w.BatchMaxTokens
	}
	return a
}

// chooseRouter returns the index of the router that receives a request. Routers
// are assigned to regions in rotation.
func (g *arrivalGenerator) chooseRouter(a Arrival, routers int) int {
	w := g.workload
	regions := len(w.Regions)
	if g.random.Float64() >= w.HomeShare || routers < regions {
		return g.random.IntN(routers)
	}
	home := a.Path[w.HomeLevel] % regions
	inRegion := (routers - home + regions - 1) / regions
	return home + regions*g.random.IntN(inRegion)
}
