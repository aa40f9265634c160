package rehearser

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gentianstep.example/gentianstep/internal/caching/cataloguer"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/picker"
	"gentianstep.example/gentianstep/internal/routing/throttler"
)

// Names of scheduling policies.
const (
	RoundRobin  = "round_robin"
	LeastLoaded = "least_loaded"
	PrefixCost  = "prefix_cost"
	// Shedding is PrefixCost with the gateway's order and refusals of waiting requests.
	Shedding = "shedding"
	// PrefixCostEqualSpeeds is PrefixCost without estimates of the speeds of engines. It is
	// simulated for comparison only, and is not one of Policies.
	PrefixCostEqualSpeeds = "prefix_cost_equal_speeds"
)

// Policies returns the names of the policies that are compared.
func Policies() []string { return []string{RoundRobin, LeastLoaded, PrefixCost, Shedding} }

const (
	// inFlightPerSlot is the maximum number of requests in flight to an engine for
	// each of its slots.
	inFlightPerSlot = 2
	// weightsVersion is the weights version of all engines.
	weightsVersion = 1
	tokenBytes     = 1
)

// placement is the engine chosen for a request.
type placement struct {
	engine int
	// source is the engine to copy the shared part from, or -1 to copy nothing.
	source int
	choice picker.Choice
}

// policy chooses engines for the requests of one VM.
type policy interface {
	// choose returns false if no engine can accept the request now.
	choose(now time.Duration, a arrival) (placement, bool)
	// prefillEnded and requestEnded report the progress of a placed request.
	prefillEnded(p placement)
	requestEnded(p placement)
}

// roundRobin selects available engines in turn.
type roundRobin struct {
	r    *simulation
	next int
}

func (p *roundRobin) choose(now time.Duration, _ arrival) (placement, bool) {
	for range p.r.engines {
		p.next = (p.next + 1) % len(p.r.engines)
		if now >= p.r.engines[p.next].downUntil {
			return placement{engine: p.next, source: -1}, true
		}
	}
	return placement{}, false
}

func (p *roundRobin) prefillEnded(placement) {}
func (p *roundRobin) requestEnded(placement) {}

// leastLoaded selects the available engine with the fewest known requests
// in flight. Ties are broken at random.
type leastLoaded struct {
	r  *simulation
	vm int
}

func (p *leastLoaded) choose(now time.Duration, _ arrival) (placement, bool) {
	best, lowest := -1, 0
	for _, n := range p.r.rng.Perm(len(p.r.engines)) {
		load := p.r.estimatedLoad(p.vm, n).InFlight
		if now >= p.r.engines[n].downUntil && (best < 0 || load < lowest) {
			best, lowest = n, load
		}
	}
	return placement{engine: best, source: -1}, best >= 0
}

func (p *leastLoaded) prefillEnded(placement) {}
func (p *leastLoaded) requestEnded(placement) {}

// prefixCost selects engines with the gateway's picker.
type prefixCost struct {
	r      *simulation
	vm     int
	picker *picker.Picker
	// equalSpeeds makes it take all engines for equally fast.
	equalSpeeds bool
	// last is the latest choice.
	last picker.Choice
}

func newPrefixCost(r *simulation, vm int, seed uint64) *prefixCost {
	regions := make(map[string]string)
	for n := range r.load.Engines.Regions {
		regions[regionName(n)] = regionName(n)
	}
	return &prefixCost{r: r, vm: vm, picker: picker.New(picker.Config{
		AvailabilityZone: regionName(vm % r.load.Engines.Regions),
		Regions:          regions,
		Seed:             seed,
	})}
}

func (p *prefixCost) choose(now time.Duration, a arrival) (placement, bool) {
	q := p.query(now, a)
	at := p.r.epoch.Add(now)
	if p.r.lines != nil {
		q.HoldTime = p.r.lines[p.vm].all.hold
	}
	c := p.picker.Choose(at, q)
	p.last = c
	if c.Upstream == nil {
		return placement{}, false
	}
	p.picker.RecordSent(at, q, c)
	p.r.withholders[p.vm].Admit(at, c.Upstream, false)
	p.r.sharing.throttlers[p.vm].Take(at, throttler.ProcessOf(c.Upstream))
	chosen := placement{engine: p.r.index[c.Upstream.ID], source: -1, choice: c}
	if c.Source != nil && p.r.isOpen(now, p.vm, p.r.index[c.Source.ID]) {
		chosen.source = p.r.index[c.Source.ID]
	}
	return chosen, true
}

func (p *prefixCost) query(now time.Duration, a arrival) picker.Query {
	limit := inFlightPerSlot * p.r.load.Engines.Slots
	return picker.Query{
		Upstreams: p.r.upstreams,
		Limits: func(*registrar.Upstream) picker.Limits {
			return picker.Limits{Own: max(2*limit/p.r.load.VMs, 2), All: limit}
		},
		Speed:     p.speed,
		OtherVMs:  p.r.load.VMs - 1,
		LoadAge:   now % max(millis(p.r.load.LoadSyncMS), time.Millisecond),
		Objective: max(millis(a.kind.ObjectiveMS)-(now-a.at), time.Millisecond),
		OtherLoad: func(id string) picker.Load { return p.r.reportedLoad(p.vm, p.r.index[id]) },
		Usable: func(u *registrar.Upstream) bool {
			n := p.r.index[u.ID]
			return now >= p.r.engines[n].downUntil && p.r.isOpen(now, p.vm, n) && p.r.withinLimit(now, p.vm, u)
		},
		Prompt: &picker.Prompt{
			Shared:         []picker.SharedPart{{ID: a.subject, Tokens: a.kind.SharedTokens}},
			Tokens:         a.kind.SharedTokens + a.ownTokens,
			WeightsVersion: func(*registrar.Upstream) uint64 { return weightsVersion },
			Scope:          func(uint64) string { return "" },
			Holders:        p.r.holders,
			Engine:         picker.Engine{TokenBytes: tokenBytes, LinkBytesPerSecond: 1000 * p.r.load.Engines.CopyTokensPerMS},
		},
	}
}

func (p *prefixCost) prefillEnded(at placement) { p.picker.EndPrefill(at.choice) }
func (p *prefixCost) requestEnded(at placement) { p.picker.EndRequest(at.choice) }

// holders returns the engines that cache a part, in place of the hub's catalogue.
func (r *simulation) holders(part cataloguer.Part) map[string]cataloguer.Holding {
	holdings := make(map[string]cataloguer.Holding)
	for n, e := range r.engines {
		if tokens := e.cachedTokensOf(part.ID); tokens > 0 {
			holdings[r.upstreams[n].ID] = cataloguer.Holding{Tokens: tokens}
		}
	}
	return holdings
}

func regionName(n int) string { return fmt.Sprint("z", n) }

func newPolicy(r *simulation, name string, vm int, seed uint64) (policy, error) {
	switch name {
	case RoundRobin:
		return &roundRobin{r: r, next: rand.New(rand.NewPCG(seed, 0)).IntN(len(r.engines))}, nil
	case LeastLoaded:
		return &leastLoaded{r: r, vm: vm}, nil
	case PrefixCost, PrefixCostEqualSpeeds, Shedding:
		p := newPrefixCost(r, vm, seed)
		p.equalSpeeds = name == PrefixCostEqualSpeeds
		return p, nil
	}
	return nil, fmt.Errorf("policy %q: %w", name, errUnknownPolicy)
}
