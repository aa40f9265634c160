package picker

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianstep.example/gentianstep/internal/membership/registrar"
)

const (
	// longTokens is the length of the shared parts from which on a request goes
	// by what upstreams hold; below, reading them costs less than telling.
	longTokens = 1024
	// readPerToken is the time in which an engine reads a token of a prompt,
	// that of a large model on current accelerators.
	readPerToken = 20 * time.Microsecond
	// recomputePerToken is the price of a token that is read again although
	// another engine holds it: five times the time that it takes, since it is
	// paid for and delays others too.
	recomputePerToken = 5 * readPerToken
	// strayPerToken is the price of a short prompt's shared token away from its
	// home. It also keeps VMs that have not heard of each other's last requests
	// from sending all of theirs to the one engine that looked best.
	strayPerToken = 5 * recomputePerToken
	// serveTime is the time for which a request holds a slot, as far as those
	// that wait for one are concerned.
	serveTime = 400 * time.Millisecond
	// perRequest is by how much each running request slows down the others.
	perRequest = time.Millisecond
	// zoneDistance and regionDistance price the way, regionPerKB the bytes that
	// cross regions.
	zoneDistance   = time.Millisecond
	regionDistance = 20 * time.Millisecond
	regionPerKB    = 1500 * time.Microsecond
	// stalePrice is what older weights cost while newer ones are wanted.
	stalePrice = 60 * time.Millisecond
	// duePrice is the price of weights that have to be replaced soon: a request
	// that waits at the engine may begin too late.
	duePrice = 2 * time.Second
	// faultPrice is the price of an upstream that fails each request.
	faultPrice = 400 * time.Millisecond
	// homeBonus lets VMs agree on an upstream that is to read a shared prompt.
	homeBonus = 150 * time.Millisecond
	// leastFetch is the number of tokens from which on a copy is worth its call.
	leastFetch = 1024
	// fetchSetup is the time that a copy takes beside its bytes.
	fetchSetup = 5 * time.Millisecond
	// Copies between zones and regions take that many times as long.
	zoneFetchFactor   = 2
	regionFetchFactor = 10
	// longestFetch is the longest copy that is asked for; engines don't begin
	// copies that wait for two seconds.
	longestFetch = 1500 * time.Millisecond
	// jitter keeps VMs from choosing the same among equals.
	jitter = 2 * time.Millisecond
)

// estimate prices the candidates of one query.
type estimate struct {
	now    time.Time
	picker *Picker
	query  Query
	home   *registrar.Upstream
	held   map[uint64]*held
}

func newEstimate(now time.Time, p *Picker, q Query, candidates []*registrar.Upstream) *estimate {
	e := &estimate{now: now, picker: p, query: q, held: make(map[uint64]*held)}
	if q.Prompt == nil || len(q.Prompt.Shared) == 0 {
		return e
	}
	if q.Prompt.Long() {
		e.home = home(q.Prompt.Shared[0].ID, e.nearStore(candidates))
		return e
	}
	// Short prompts stay in the own zone where it has an upstream.
	near := candidates[:0:0]
	for _, u := range candidates {
		if u.AvailabilityZone == p.cfg.AvailabilityZone {
			near = append(near, u)
		}
	}
	if len(near) == 0 {
		near = candidates
	}
	e.home = home(q.Prompt.Shared[len(q.Prompt.Shared)-1].ID, near)
	return e
}

// nearStore returns the candidates that can save to a store of their region,
// all where there are none: what is read there outlasts the engines' memory.
func (e *estimate) nearStore(candidates []*registrar.Upstream) []*registrar.Upstream {
	near := candidates[:0:0]
	for _, u := range candidates {
		for _, store := range e.query.Prompt.Stores {
			if e.sameRegion(u.AvailabilityZone, store.AvailabilityZone) {
				near = append(near, u)
			}
		}
	}
	if len(near) == 0 {
		return candidates
	}
	return near
}

// home returns the upstream that rendezvous hashing names for a part.
func home(part string, candidates []*registrar.Upstream) *registrar.Upstream {
	var best *registrar.Upstream
	bestHash := uint64(0)
	for _, u := range candidates {
		hash := xxhash.Sum64String(part + "\x00" + u.ID)
		if best == nil || hash > bestHash {
			best, bestHash = u, hash
		}
	}
	return best
}

// price estimates what it costs to send the request to u.
func (e *estimate) price(u *registrar.Upstream, load Load) Choice {
	c := Choice{Upstream: u, Reason: LowestCost, Load: load}
	c.Costs.Queue = time.Duration(load.InFlight) * perRequest
	if over := load.InFlight + 1 - max(u.Slots, 1); over > 0 {
		c.Costs.Queue += time.Duration(over) * serveTime / time.Duration(max(u.Slots, 1))
	}
	c.Costs.Distance = e.distance(u) + time.Duration(e.picker.rng.Int64N(int64(jitter)))
	if s := e.picker.states[u.ID]; s != nil {
		c.Costs.Faults = time.Duration(s.faults * float64(faultPrice))
	}
	if e.query.Prompt != nil {
		e.pricePrompt(u, load, &c)
	}
	return c
}

func (e *estimate) distance(u *registrar.Upstream) time.Duration {
	own := e.picker.cfg.AvailabilityZone
	switch {
	case u.AvailabilityZone == own:
		return 0
	case e.sameRegion(u.AvailabilityZone, own):
		return zoneDistance
	}
	return regionDistance + regionPerKB*time.Duration(e.query.BodyBytes)/1024
}

func (e *estimate) sameRegion(a, b string) bool {
	return e.picker.cfg.Regions[a] == e.picker.cfg.Regions[b]
}

// pricePrompt adds what the prompt costs at u.
func (e *estimate) pricePrompt(u *registrar.Upstream, load Load, c *Choice) {
	prompt := e.query.Prompt
	c.Costs.Queue += time.Duration(load.PromptTokens) * readPerToken
	c.Weights = prompt.Weights(u)
	switch {
	case c.Weights < prompt.Due:
		c.Costs.Stale = duePrice
	case c.Weights < prompt.Newest:
		c.Costs.Stale = stalePrice
	}
	shared := prompt.SharedTokens()
	missing := prompt.Tokens
	switch {
	case shared == 0:
	case prompt.Long():
		missing -= e.priceLong(u, shared, c)
	case u == e.home:
		missing -= shared
		c.Reason = PrefixHome
	default:
		c.Costs.Recompute = time.Duration(shared) * strayPerToken
	}
	c.PromptTokens = max(missing, 0)
	c.Costs.Prefill = time.Duration(c.PromptTokens) * readPerToken
}

// priceLong prices a long shared prompt and returns how much of it u need not
// read.
func (e *estimate) priceLong(u *registrar.Upstream, shared int, c *Choice) int {
	c.Scope = e.query.Prompt.Scope(c.Weights)
	h := e.holdings(c.Weights, c.Scope)
	own := min(h.tokens[u.ID], shared)
	e.save(u, h, shared, c)
	if own > 0 {
		c.Reason = PrefixHeld
	}
	if best := e.fetch(u, own, shared, h); best.tokens > 0 {
		c.Costs.Fetch, c.Costs.Copy = best.wait+best.copy, best.copy
		c.Source, c.Reason = best.source, PrefixFetch
		own = best.tokens
	}
	if most := min(h.most, shared); most > own {
		c.Costs.Recompute = time.Duration(most-own) * recomputePerToken
	}
	if h.most == 0 && u != e.home {
		c.Costs.Recompute = homeBonus
	} else if u == e.home && own == 0 {
		c.Reason = PrefixHome
	}
	return own
}

// save names a store near u that lacks the prompt.
func (e *estimate) save(u *registrar.Upstream, h *held, shared int, c *Choice) {
	for i := range e.query.Prompt.Stores {
		store := &e.query.Prompt.Stores[i]
		if e.sameRegion(u.AvailabilityZone, store.AvailabilityZone) && h.tokens[store.ID]+leastFetch <= shared {
			c.Save = store
		}
	}
}
