package rehearser

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gentianstep.example/gentianstep/internal/caching/cataloguer"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/picker"
)

// Names of policies.
const (
	RoundRobin  = "round_robin"
	LeastLoaded = "least_loaded"
	PrefixCost  = "prefix_cost"
)

// Policies lists the policies that can be rehearsed.
func Policies() []string { return []string{RoundRobin, LeastLoaded, PrefixCost} }

const (
	// places is the number of requests for each slot that may be at an engine.
	places = 2
	// weightsVersion is the one version that all engines have.
	weightsVersion = 1
	tokenBytes     = 1
)

// placing is where a request goes.
type placing struct {
	engine int
	// from is the engine from which it copies the shared part, -1 for none.
	from   int
	choice picker.Choice
}

// policy chooses engines for the requests of one VM.
type policy interface {
	// choose returns false where no engine should get the request now.
	choose(now time.Duration, a arrival) (placing, bool)
	begun(p placing)
	done(p placing)
}

// rotating takes each engine in turn.
type rotating struct {
	r    *rehearsal
	next int
}

func (p *rotating) choose(now time.Duration, _ arrival) (placing, bool) {
	for range p.r.engines {
		p.next = (p.next + 1) % len(p.r.engines)
		if now >= p.r.engines[p.next].downTill {
			return placing{engine: p.next, from: -1}, true
		}
	}
	return placing{}, false
}

func (p *rotating) begun(placing) {}
func (p *rotating) done(placing)  {}

// shortest takes the engine with the fewest requests that are known of.
type shortest struct {
	r  *rehearsal
	vm int
}

func (p *shortest) choose(now time.Duration, _ arrival) (placing, bool) {
	best, least := -1, 0
	for _, n := range p.r.rng.Perm(len(p.r.engines)) {
		load := p.r.known(p.vm, n).InFlight
		if now >= p.r.engines[n].downTill && (best < 0 || load < least) {
			best, least = n, load
		}
	}
	return placing{engine: best, from: -1}, best >= 0
}

func (p *shortest) begun(placing) {}
func (p *shortest) done(placing)  {}

// priced is the policy of the gateway.
type priced struct {
	r      *rehearsal
	vm     int
	picker *picker.Picker
}

func newPriced(r *rehearsal, vm int, seed uint64) *priced {
	regions := make(map[string]string)
	for n := range r.load.Engines.Regions {
		regions[zone(n)] = zone(n)
	}
	return &priced{r: r, vm: vm, picker: picker.New(picker.Config{
		AvailabilityZone: zone(vm % r.load.Engines.Regions),
		Regions:          regions,
		Seed:             seed,
	})}
}

func (p *priced) choose(now time.Duration, a arrival) (placing, bool) {
	q := p.query(now, a)
	at := p.r.epoch.Add(now)
	c := p.picker.Choose(at, q)
	if c.Upstream == nil {
		return placing{}, false
	}
	p.picker.RecordSent(at, q, c)
	chosen := placing{engine: p.r.index[c.Upstream.ID], from: -1, choice: c}
	if c.Source != nil {
		chosen.from = p.r.index[c.Source.ID]
	}
	return chosen, true
}

func (p *priced) query(now time.Duration, a arrival) picker.Query {
	limit := places * p.r.load.Engines.Slots
	return picker.Query{
		Upstreams:      p.r.upstreams,
		MaxOwnInFlight: max(2*limit/p.r.load.VMs, 2),
		MaxInFlight:    limit,
		Objective:      max(millis(a.kind.ObjectiveMS)-(now-a.at), time.Millisecond),
		OtherLoad:      func(id string) picker.Load { return p.r.others(p.vm, p.r.index[id]) },
		Usable:         func(u *registrar.Upstream) bool { return now >= p.r.engines[p.r.index[u.ID]].downTill },
		Prompt: &picker.Prompt{
			Shared:         []picker.SharedPart{{ID: a.subject, Tokens: a.kind.Shared}},
			Tokens:         a.kind.Shared + a.own,
			WeightsVersion: func(*registrar.Upstream) uint64 { return weightsVersion },
			Scope:          func(uint64) string { return "" },
			Holders:        p.r.holders,
			Engine:         picker.Engine{TokenBytes: tokenBytes, LinkBytesPerSecond: 1000 * p.r.load.Engines.CopyPerMS},
		},
	}
}

func (p *priced) begun(at placing) { p.picker.EndPrefill(at.choice) }
func (p *priced) done(at placing)  { p.picker.EndRequest(at.choice) }

// holders tells which engines keep a part, as the hub would.
func (r *rehearsal) holders(part cataloguer.Part) map[string]cataloguer.Holding {
	holdings := make(map[string]cataloguer.Holding)
	for n, e := range r.engines {
		if tokens := e.holds(part.ID); tokens > 0 {
			holdings[r.upstreams[n].ID] = cataloguer.Holding{Tokens: tokens}
		}
	}
	return holdings
}

func zone(n int) string { return fmt.Sprint("z", n) }

func newPolicy(r *rehearsal, name string, vm int, seed uint64) (policy, error) {
	switch name {
	case RoundRobin:
		return &rotating{r: r, next: rand.New(rand.NewPCG(seed, 0)).IntN(len(r.engines))}, nil
	case LeastLoaded:
		return &shortest{r: r, vm: vm}, nil
	case PrefixCost:
		return newPriced(r, vm, seed), nil
	}
	return nil, fmt.Errorf("policy %q: %w", name, errUnknown)
}
