// Package picker selects the upstream of a request by estimated cost: the time
// to the first event, plus penalties such as that for recomputing prompt tokens
// that another engine has cached. It does no I/O and reads no clock.
package picker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"gentianstep.example/gentianstep/internal/caching/cataloguer"
	"gentianstep.example/gentianstep/internal/membership/registrar"
)

// Reason is the reason for a choice, or for the lack of one.
type Reason string

// Reasons of choices.
const (
	// PrefixHeld means that the chosen upstream has shared parts of the prompt
	// cached.
	PrefixHeld Reason = "prefix_held"
	// PrefixFetch means that it copies them from another upstream or a store.
	PrefixFetch Reason = "prefix_fetch"
	// PrefixHome means that it is the prompt's home by rendezvous hashing.
	PrefixHome Reason = "prefix_home"
	LowestCost Reason = "lowest_cost"
	// NoUpstream means that no upstream is registered or usable.
	NoUpstream Reason = "no_upstream"
	// Full means that each usable upstream has reached a limit of its requests
	// in flight.
	Full Reason = "full"
	// Behind means that the queue of each usable engine is so long that the prompt
	// would miss its objective, or that its weights may have to be replaced before a request
	// gets a slot.
	Behind Reason = "behind"
	// Outranked means that an upstream could take the request, but that others wait
	// which go first. Callers of Choose set it.
	Outranked Reason = "outranked"
)

const (
	// heavyPrefillTokens is the number of tokens to prefill from which a prompt
	// delays the requests queued after it: a tenth of a usual objective.
	heavyPrefillTokens = 2500
	// minQueueShare is the share of the objective that is always allowed for
	// the queue, so that prompts whose prefill takes most of the objective are
	// served too.
	minQueueShare = 0.5
	// sentPartTTL is how long the upstream of a sent prompt is remembered,
	// until its cache events arrive.
	sentPartTTL = 1500 * time.Millisecond
	// maxPendingParts bounds the sent parts that have not been drained.
	maxPendingParts = 1024
)

// Config configures a Picker.
type Config struct {
	AvailabilityZone string
	// Regions maps availability zones to regions.
	Regions map[string]string
	// Seed is the seed of the jitter.
	Seed uint64
}

// sentPart is the upstream to which a shared part was sent recently.
type sentPart struct {
	upstream string
	until    time.Time
}

// Picker selects upstreams and tracks this VM's load at each of them. It is not
// safe for concurrent use.
type Picker struct {
	cfg         Config
	rng         *rand.Rand
	states      map[string]*upstreamState
	calibration calibration
	// sent is keyed by the cache scope and the ID of the last shared part.
	sent map[string]sentPart
	// pendingParts lists the parts sent and not yet drained.
	pendingParts []SentPart
	// sendRates holds the rates of work sent to engines (true) and plain services.
	sendRates map[bool]*sendRate
	// rooms holds this VM's part of the free places at engines (true) and plain services.
	rooms map[bool]*room
}

// SentPart is a shared part that was sent to an upstream for prefill.
type SentPart struct {
	Upstream string
	Part     cataloguer.Part
	Tokens   int
}

// New returns a Picker without state of any upstream.
func New(cfg Config) *Picker {
	return &Picker{
		cfg:         cfg,
		rng:         rand.New(rand.NewPCG(cfg.Seed, 1)),
		states:      make(map[string]*upstreamState),
		calibration: newCalibration(),
		sent:        make(map[string]sentPart),
		sendRates:   make(map[bool]*sendRate),
		rooms:       map[bool]*room{true: {}, false: {}},
	}
}

// Choose returns the upstream for a request: the one with the lowest cost, or one of
// those with low costs if other VMs may choose the same one unseen. Without one, the
// reason of the choice says why.
func (p *Picker) Choose(now time.Time, q Query) Choice {
	candidates := p.candidates(now, q)
	if len(candidates) == 0 {
		return Choice{Reason: NoUpstream}
	}
	e := newCostEstimator(now, p, q, candidates)
	choices := make([]Choice, 0, len(candidates))
	best := Choice{Reason: Full}
	room := p.rooms[q.Prompt != nil]
	room.divide(now, p.rng, q, candidates, func(u *registrar.Upstream) (free, all int) {
		all = q.limitsAt(u).All
		return max(all-p.totalLoad(q, u).InFlight, 0), all
	})
	for _, u := range candidates {
		load, limits := p.totalLoad(q, u), q.limitsAt(u)
		if load.InFlight >= limits.All || p.ownLoad(u.ID).InFlight >= limits.Own || room.taken(u.ID) {
			continue
		}
		c := e.estimateCosts(u, load)
		late := mayStartTooLate(q, c)
		if late || p.queueTooLong(q, c) {
			best = lessBehind(best, c)
			best.QueueTooLong = best.QueueTooLong || !late
			continue
		}
		choices = append(choices, c)
	}
	if len(choices) > 0 {
		own := slices.MinFunc(choices, func(a, b Choice) int { return cmp.Compare(a.Costs.Total(), b.Costs.Total()) }).work(q)
		best = selectChoice(p.rng, choices, p.unseenWork(now, q), own)
		best.prompt = q.Prompt != nil
	}
	best.Candidates = len(candidates)
	return best
}

// mayStartTooLate reports whether a request would wait for a slot of an engine whose
// weights are due for replacement: it may start when they must no longer be used.
//
// Load: a roll-out that is delayed while all engines are full.
func mayStartTooLate(q Query, c Choice) bool {
	return q.Prompt != nil && c.WeightsVersion < q.Prompt.DueVersion && c.Load.InFlight >= max(c.Upstream.Slots, 1)
}

// queueTooLong reports whether a prompt would miss the objective because of the
// engine's queue.
func (p *Picker) queueTooLong(q Query, c Choice) bool {
	if q.Objective <= 0 || q.Prompt == nil {
		return false
	}
	queue := p.calibration.scale(c.Costs.Queue)
	if c.PromptTokens < heavyPrefillTokens {
		queue = p.shortPromptQueue(q, c)
	}
	prefill := p.calibration.scale(c.Costs.Prefill + c.Costs.Fetch)
	allowed := max(q.Objective-prefill, time.Duration(minQueueShare*float64(q.Objective)))
	return queue > allowed
}

// shortPromptQueue returns the wait of a prompt with a short prefill. The wait for a slot
// follows from the measured time of requests at upstreams, since slotHoldTime is
// several times too long where prompts and responses are short.
func (p *Picker) shortPromptQueue(q Query, c Choice) time.Duration {
	if q.HoldTime <= 0 {
		return 0
	}
	slots := max(c.Upstream.Slots, 1)
	over := time.Duration(max(c.Load.InFlight+1-slots, 0))
	others := p.calibration.scale(c.Costs.Queue - over*slotHoldTime/time.Duration(slots))
	return others + over*q.HoldTime/time.Duration(max(c.Load.InFlight, 1))
}

// lessBehind returns the choice of no engine, given that c cannot be chosen either: the
// shortest backlog, and the fewest tokens that an engine would have to prefill.
func lessBehind(best, c Choice) Choice {
	if best.Reason != Behind {
		return Choice{Reason: Behind, Backlog: c.Costs.Queue, PromptTokens: c.PromptTokens, Costs: c.Costs}
	}
	if c.Costs.Queue+c.Costs.Prefill+c.Costs.Fetch < best.Costs.Queue+best.Costs.Prefill+best.Costs.Fetch {
		best.Costs = c.Costs
	}
	best.Backlog = shorterBacklog(best.Backlog, c.Costs.Queue)
	best.PromptTokens = min(best.PromptTokens, c.PromptTokens)
	return best
}

// shorterBacklog returns the shorter of two backlogs; a of 0 is unset.
func shorterBacklog(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// RecordFirstEvent records the time from sending a request to its first event,
// to calibrate later estimates.
func (p *Picker) RecordFirstEvent(c Choice, took time.Duration) {
	p.calibration.observe(c.Costs.Queue+c.Costs.Prefill+c.Costs.Fetch, took)
}

// candidates returns the upstreams that can serve q without those in cooldown,
// or those in cooldown if there are no others.
func (p *Picker) candidates(now time.Time, q Query) []*registrar.Upstream {
	var healthy, cooling []*registrar.Upstream
	for _, u := range q.Upstreams {
		if q.Exclude[u.ID] || q.Usable != nil && !q.Usable(u) {
			continue
		}
		if s := p.states[u.ID]; s != nil && now.Before(s.cooldownUntil) {
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

// totalLoad returns the load that all VMs have at an upstream.
func (p *Picker) totalLoad(q Query, u *registrar.Upstream) Load {
	load := p.ownLoad(u.ID)
	if q.OtherLoad != nil {
		load = load.Plus(q.OtherLoad(u.ID))
	}
	return load
}

// RecordSent records that a request is sent to the chosen upstream.
func (p *Picker) RecordSent(now time.Time, q Query, c Choice) {
	s := p.touchState(now, c.Upstream.ID)
	s.load.InFlight++
	s.load.PromptTokens += c.PromptTokens
	p.rooms[q.Prompt != nil].add(c.Upstream.ID, -1)
	rate := p.sendRates[q.Prompt != nil]
	if rate == nil {
		rate = &sendRate{}
		p.sendRates[q.Prompt != nil] = rate
	}
	rate.record(now, c.work(q))
	if c.Source != nil {
		p.touchState(now, c.Source.ID).load.Copying += c.Costs.Copy
	}
	if q.Prompt == nil || !q.Prompt.Long() {
		return
	}
	if len(p.pendingParts) < maxPendingParts {
		for _, part := range q.Prompt.Shared {
			p.pendingParts = append(p.pendingParts, SentPart{c.Upstream.ID, cataloguer.Part{Scope: c.Scope, ID: part.ID}, part.Tokens})
		}
	}
	p.sent[c.Scope+"\x00"+q.Prompt.PrefixID()] = sentPart{c.Upstream.ID, now.Add(sentPartTTL)}
	for key, part := range p.sent {
		if now.After(part.until) {
			delete(p.sent, key)
		}
	}
}

// DrainSentParts returns the parts sent for prefill since the last call.
func (p *Picker) DrainSentParts() []SentPart {
	parts := p.pendingParts
	p.pendingParts = nil
	return parts
}

// EndPrefill records that the upstream has prefilled the prompt of a request.
func (p *Picker) EndPrefill(c Choice) {
	p.states[c.Upstream.ID].load.PromptTokens -= c.PromptTokens
	if c.Source == nil {
		return
	}
	if source := p.states[c.Source.ID]; source != nil {
		source.load.Copying -= c.Costs.Copy
	}
}

// EndRequest records that a request has ended. The end of its prefill must have
// been recorded before.
func (p *Picker) EndRequest(c Choice) {
	p.states[c.Upstream.ID].load.InFlight--
	p.rooms[c.prompt].add(c.Upstream.ID, 1)
}
