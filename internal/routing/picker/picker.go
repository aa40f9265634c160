// Package picker chooses the upstream of a request from what this VM knows by
// itself: the requests that it has in flight, failures that it met, and where
// the shared part of a prompt was computed before. It does no I/O and reads no
// clock.
package picker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianstep.example/gentianstep/internal/membership/registrar"
)

// Reason says why an upstream was chosen, or none.
type Reason string

// Reasons of choices.
const (
	PrefixHome   Reason = "prefix_home"
	HomeOverflow Reason = "home_overflow"
	LeastLoaded  Reason = "least_loaded"
	// NoUpstream means that no upstream is registered or usable.
	NoUpstream Reason = "no_upstream"
	// Full means that each usable upstream has all the work it may get.
	Full Reason = "full"
)

const (
	// affinityTokens is the shortest shared prompt that is kept together; below,
	// computing it again costs an engine less than a queue does.
	affinityTokens = 1024
	// homeSlack is by how much the load of a home may exceed the mean before
	// the next one takes over.
	homeSlack = 1.5
	// homeFloor is the load up to which a home is never passed over.
	homeFloor = 2
	// firstCooldown and lastCooldown bound how long an upstream that could not
	// be reached is left out.
	firstCooldown = 500 * time.Millisecond
	lastCooldown  = 4 * time.Second
)

// Config holds what a Picker is built from.
type Config struct {
	AvailabilityZone string
	// Regions maps availability zones to regions.
	Regions map[string]string
	Seed    uint64
}

// Query describes a request that needs an upstream.
type Query struct {
	Upstreams []*registrar.Upstream
	// Limit is the number of requests that this VM may have at one upstream.
	Limit int
	// Subject names the shared part of the prompt, SharedTokens is its length.
	Subject      string
	SharedTokens int
	// Usable leaves out upstreams that cannot serve the request; nil takes all.
	Usable func(*registrar.Upstream) bool
	// Exclude names an upstream that the request has already failed at.
	Exclude map[string]bool
}

// Choice is the answer to a Query.
type Choice struct {
	Upstream *registrar.Upstream
	Reason   Reason
	// Candidates counts the upstreams that could have been chosen.
	Candidates int
	// InFlight counts this VM's requests at the chosen one before this.
	InFlight int
}

// state is what is known of one upstream.
type state struct {
	inFlight int
	failures int
	// coolsUntil is zero unless the upstream could not be reached.
	coolsUntil time.Time
}

// Picker is used by one goroutine at a time.
type Picker struct {
	cfg    Config
	rng    *rand.Rand
	states map[string]*state
}

// New returns a Picker that knows no upstream.
func New(cfg Config) *Picker {
	return &Picker{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), states: make(map[string]*state)}
}

// Choose returns the upstream for a request.
func (p *Picker) Choose(now time.Time, q Query) Choice {
	candidates := p.candidates(now, q)
	if len(candidates) == 0 {
		return Choice{Reason: NoUpstream}
	}
	free := slices.DeleteFunc(slices.Clone(candidates), func(u *registrar.Upstream) bool {
		return p.inFlight(u) >= q.Limit
	})
	if len(free) == 0 {
		return Choice{Reason: Full, Candidates: len(candidates)}
	}
	choice := Choice{Candidates: len(candidates)}
	if q.SharedTokens >= affinityTokens && q.Subject != "" {
		choice.Upstream, choice.Reason = p.home(q.Subject, candidates, q.Limit)
	}
	if choice.Upstream == nil {
		choice.Upstream, choice.Reason = p.leastLoaded(free), LeastLoaded
	}
	choice.InFlight = p.inFlight(choice.Upstream)
	return choice
}

// candidates returns the upstreams that may serve q. Where all of them cool
// down, cooling ones count too.
func (p *Picker) candidates(now time.Time, q Query) []*registrar.Upstream {
	var healthy, cooling []*registrar.Upstream
	for _, u := range q.Upstreams {
		if q.Exclude[u.ID] || q.Usable != nil && !q.Usable(u) {
			continue
		}
		if s := p.states[u.ID]; s != nil && now.Before(s.coolsUntil) {
			cooling = append(cooling, u)
			continue
		}
		healthy = append(healthy, u)
	}
	if len(healthy) == 0 {
		return cooling
	}
	return healthy
}

// home returns the first upstream in the order of the subject's hashes that is
// not loaded far above the mean.
func (p *Picker) home(subject string, candidates []*registrar.Upstream, limit int) (*registrar.Upstream, Reason) {
	total := 0
	for _, u := range candidates {
		total += p.inFlight(u)
	}
	most := max(homeSlack*float64(total+1)/float64(len(candidates)), homeFloor)
	type ranked struct {
		upstream *registrar.Upstream
		hash     uint64
	}
	order := make([]ranked, 0, len(candidates))
	for _, u := range candidates {
		order = append(order, ranked{u, xxhash.Sum64String(subject + "\x00" + u.ID)})
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	for i, r := range order {
		n := p.inFlight(r.upstream)
		if n >= limit || float64(n) >= most {
			continue
		}
		if i == 0 {
			return r.upstream, PrefixHome
		}
		return r.upstream, HomeOverflow
	}
	return nil, ""
}

// leastLoaded prefers the own availability zone, then the own region, among
// upstreams with equal load.
func (p *Picker) leastLoaded(free []*registrar.Upstream) *registrar.Upstream {
	var best *registrar.Upstream
	bestScore := 0.0
	for _, u := range free {
		score := float64(p.inFlight(u)) + p.distance(u) + p.rng.Float64()/2
		if best == nil || score < bestScore {
			best, bestScore = u, score
		}
	}
	return best
}

// Distances are in requests in flight that an upstream must have fewer to be
// chosen over one of the own availability zone.
const (
	zoneDistance   = 1
	regionDistance = 3
)

func (p *Picker) distance(u *registrar.Upstream) float64 {
	own := p.cfg.AvailabilityZone
	switch {
	case u.AvailabilityZone == own:
		return 0
	case p.cfg.Regions[u.AvailabilityZone] == p.cfg.Regions[own]:
		return zoneDistance
	}
	return regionDistance
}

func (p *Picker) inFlight(u *registrar.Upstream) int {
	if s := p.states[u.ID]; s != nil {
		return s.inFlight
	}
	return 0
}

func (p *Picker) state(id string) *state {
	s, ok := p.states[id]
	if !ok {
		s = &state{}
		p.states[id] = s
	}
	return s
}

// Sent notes that a request goes to an upstream.
func (p *Picker) Sent(id string) { p.state(id).inFlight++ }

// Done notes that a request is no longer at an upstream.
func (p *Picker) Done(id string) {
	s := p.state(id)
	s.inFlight--
	if s.inFlight <= 0 && s.failures == 0 {
		delete(p.states, id)
	}
}

// Reached notes that an upstream answered.
func (p *Picker) Reached(id string) {
	if s := p.states[id]; s != nil {
		s.failures, s.coolsUntil = 0, time.Time{}
	}
}

// Unreachable notes that an upstream could not be reached. Failures that come
// during a cooldown do not lengthen it.
func (p *Picker) Unreachable(now time.Time, id string) {
	s := p.state(id)
	if now.Before(s.coolsUntil) {
		return
	}
	cooldown := min(firstCooldown<<min(s.failures, 8), lastCooldown)
	s.failures++
	s.coolsUntil = now.Add(cooldown + time.Duration(p.rng.Int64N(int64(cooldown/4))))
}

// Avoid leaves an upstream out until a time, for a reason that is no failure.
func (p *Picker) Avoid(id string, until time.Time) {
	s := p.state(id)
	if until.After(s.coolsUntil) {
		s.coolsUntil = until
	}
}
