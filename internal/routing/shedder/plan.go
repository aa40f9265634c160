package shedder

import (
	"slices"
	"time"
)

// Capacity describes what the competing requests share.
type Capacity struct {
	// Lanes is the number of requests that run at the same time.
	Lanes float64
	// ReturnsFrom is the time given to the client that was refused last, zero if none
	// was. The next one returns later.
	ReturnsFrom time.Time
	// MinReturnAfter is the shortest time after which a client returns.
	MinReturnAfter time.Duration
}

// Place is the place of a request in the order.
type Place struct {
	Request *Request
	// StartAt is the estimated start behind all requests that go before it.
	StartAt time.Time
	// Late is true if the first event misses the objective with that start.
	Late bool
}

// Refusal is a request that is refused now.
type Refusal struct {
	Request *Request
	// StartAt is the estimated start that is too late.
	StartAt time.Time
	// Ahead is the number of requests that go before it, First the first of
	// them, or nil.
	Ahead int
	First *Request
	// ReturnAt is when its client should return. Final is true if the request could
	// then not be answered before its deadline.
	ReturnAt time.Time
	Final    bool
}

// Plan is the decision on all competing requests.
type Plan struct {
	// Places lists the requests that keep their places, in the order of service.
	Places   []Place
	Refusals []Refusal
	// ReturnsFrom is Capacity.ReturnsFrom for the next plan.
	ReturnsFrom time.Time
}

// Decide orders competing requests and selects those to refuse. A request that can be
// in time behind those of higher rank is placed first. The others follow by rank, and
// one that cannot even be answered behind all of those is refused. A request that ranks
// lower therefore never takes the place of one that is refused.
func Decide(now time.Time, requests []*Request, c Capacity) Plan {
	ordered := slices.Clone(requests)
	slices.SortFunc(ordered, func(a, b *Request) int { return Compare(now, a, b) })
	p := planner{now: now, capacity: c, plan: Plan{ReturnsFrom: c.ReturnsFrom}}
	var late []*Request
	for _, r := range ordered {
		if start := p.startOf(r); start.After(r.latestStart()) || start.After(r.lastUsefulStart()) {
			late = append(late, r)
			continue
		}
		p.place(r, false)
	}
	slices.SortFunc(late, compareRank)
	for _, r := range late {
		if p.startOf(r).After(r.lastUsefulStart()) {
			p.refuse(r)
			continue
		}
		p.place(r, true)
	}
	return p.plan
}

// planner builds a Plan.
type planner struct {
	now      time.Time
	capacity Capacity
	plan     Plan
	// ahead is the time for which the placed requests occupy one lane.
	ahead time.Duration
}

func (p *planner) lanes() float64 { return max(p.capacity.Lanes, minLanes) }

// minLanes is the lower bound of lanes. It keeps estimates finite for a VM that has
// no capacity of its own at the moment.
const minLanes = 0.01

// startOf returns the start of a request behind all placed ones. The first ones start
// on lanes that are free by the request's own estimate.
func (p *planner) startOf(r *Request) time.Time {
	wait := time.Duration(float64(p.ahead) / p.lanes())
	return r.earliestStart(p.now).Add(wait)
}

func (p *planner) place(r *Request, late bool) {
	p.plan.Places = append(p.plan.Places, Place{Request: r, StartAt: p.startOf(r), Late: late})
	p.ahead += r.Hold
}

// refuse refuses a request and tells its client to return when the requests ahead have
// started, spread at the rate at which requests like it can be served.
func (p *planner) refuse(r *Request) {
	interval := time.Duration(float64(r.Hold) / p.lanes())
	at := p.startOf(r)
	if earliest := p.now.Add(p.capacity.MinReturnAfter); at.Before(earliest) {
		at = earliest
	}
	if next := p.plan.ReturnsFrom.Add(interval); at.Before(next) {
		at = next
	}
	refusal := Refusal{Request: r, StartAt: p.startOf(r), Ahead: len(p.plan.Places), ReturnAt: at}
	if refusal.Ahead > 0 {
		refusal.First = p.plan.Places[0].Request
	}
	refusal.Final = at.Add(r.Work).After(r.Deadline)
	if !refusal.Final {
		p.plan.ReturnsFrom = at // a client that does not return takes no place
	}
	p.plan.Refusals = append(p.plan.Refusals, refusal)
}
