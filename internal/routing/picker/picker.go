// Package picker chooses the upstream of a request: the one that is expected to
// answer first, with a price on reading again what another engine holds. It
// does no I/O and reads no clock.
package picker

import (
	"math/rand/v2"
	"time"

	"gentianstep.example/gentianstep/internal/caching/cataloguer"
	"gentianstep.example/gentianstep/internal/membership/registrar"
)

// Reason says why an upstream was chosen, or none.
type Reason string

// Reasons of choices.
const (
	// PrefixHeld means that the chosen one holds shared parts of the prompt.
	PrefixHeld Reason = "prefix_held"
	// PrefixFetch means that it copies them from another upstream.
	PrefixFetch Reason = "prefix_fetch"
	// PrefixHome means that the hash of the prompt names it.
	PrefixHome Reason = "prefix_home"
	LowestCost Reason = "lowest_cost"
	// NoUpstream means that no upstream is registered or usable.
	NoUpstream Reason = "no_upstream"
	// Full means that each usable upstream has all the work it may get.
	Full Reason = "full"
	// Behind means that each usable engine reads for so long that a long prompt
	// would come too late, and everything behind it too.
	Behind Reason = "behind"
)

const (
	// heavyTokens is the length of what is to be read from which on a prompt
	// holds up those behind it: a tenth of a usual objective.
	heavyTokens = 2500
	// leastQueueShare is the part of the objective that a queue may take even
	// where the prompt itself takes longer, so that the longest are served too.
	leastQueueShare = 0.5
	// sentFor is how long a prompt's home is remembered after a send, until the
	// cache events show it.
	sentFor = 1500 * time.Millisecond
	// maxNews bounds the sent parts that nobody has asked for.
	maxNews = 1024
)

// Config holds what a Picker is built from.
type Config struct {
	AvailabilityZone string
	// Regions maps availability zones to regions.
	Regions map[string]string
	Seed    uint64
}

// sentPart remembers where a shared part was sent.
type sentPart struct {
	upstream string
	until    time.Time
}

// Picker is used by one goroutine at a time.
type Picker struct {
	cfg    Config
	rng    *rand.Rand
	states map[string]*state
	pace   pace
	sent   map[string]sentPart
	// news lists what was sent to be read since SentParts was called.
	news []SentPart
}

// SentPart is a shared part that was sent to an upstream to be read.
type SentPart struct {
	Upstream string
	Part     cataloguer.Part
	Tokens   int
}

// New returns a Picker that knows no upstream.
func New(cfg Config) *Picker {
	return &Picker{
		cfg:    cfg,
		rng:    rand.New(rand.NewPCG(cfg.Seed, 1)),
		states: make(map[string]*state),
		pace:   newPace(),
		sent:   make(map[string]sentPart),
	}
}

// Choose returns the upstream for a request.
func (p *Picker) Choose(now time.Time, q Query) Choice {
	candidates := p.candidates(now, q)
	if len(candidates) == 0 {
		return Choice{Reason: NoUpstream}
	}
	e := newEstimate(now, p, q, candidates)
	best := Choice{Reason: Full}
	for _, u := range candidates {
		load := p.load(q, u)
		if load.InFlight >= q.Limit || p.own(u.ID).InFlight >= q.OwnLimit {
			continue
		}
		c := e.price(u, load)
		if p.behind(q, c) {
			if best.Upstream == nil {
				best.Reason = Behind
				best.Backlog = shorter(best.Backlog, c.Costs.Queue)
			}
			continue
		}
		if best.Upstream == nil || c.Costs.Total() < best.Costs.Total() {
			best = c
		}
	}
	best.Candidates = len(candidates)
	return best
}

// behind reports whether an engine's queue is too long for a prompt that takes
// it long to read.
func (p *Picker) behind(q Query, c Choice) bool {
	if q.Objective <= 0 || c.PromptTokens < heavyTokens {
		return false
	}
	reading := p.pace.scale(c.Costs.Prefill + c.Costs.Fetch)
	allowed := max(q.Objective-reading, time.Duration(leastQueueShare*float64(q.Objective)))
	return p.pace.scale(c.Costs.Queue) > allowed
}

// shorter returns the shorter of two backlogs, of which 0 is none.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// Observed notes how long an engine took until the first event of a request.
func (p *Picker) Observed(c Choice, took time.Duration) {
	p.pace.observe(c.Costs.Queue+c.Costs.Prefill+c.Costs.Fetch, took)
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

// load is what all VMs have at an upstream.
func (p *Picker) load(q Query, u *registrar.Upstream) Load {
	load := p.own(u.ID)
	if q.Others != nil {
		load = load.Plus(q.Others(u.ID))
	}
	return load
}

// Sent notes that a request goes where it was chosen to.
func (p *Picker) Sent(now time.Time, q Query, c Choice) {
	s := p.state(now, c.Upstream.ID)
	s.load.InFlight++
	s.load.PromptTokens += c.PromptTokens
	if c.Source != nil {
		p.state(now, c.Source.ID).load.Copying += c.Costs.Copy
	}
	if q.Prompt == nil || !q.Prompt.Long() {
		return
	}
	if len(p.news) < maxNews {
		for _, part := range q.Prompt.Shared {
			p.news = append(p.news, SentPart{c.Upstream.ID, cataloguer.Part{Scope: c.Scope, ID: part.ID}, part.Tokens})
		}
	}
	p.sent[c.Scope+"\x00"+q.Prompt.Shared[0].ID] = sentPart{c.Upstream.ID, now.Add(sentFor)}
	for key, part := range p.sent {
		if now.After(part.until) {
			delete(p.sent, key)
		}
	}
}

// SentParts returns the parts that were sent to be read since the last call.
func (p *Picker) SentParts() []SentPart {
	news := p.news
	p.news = nil
	return news
}

// Begun notes that an upstream has read the prompt of a request.
func (p *Picker) Begun(c Choice) {
	p.states[c.Upstream.ID].load.PromptTokens -= c.PromptTokens
	if c.Source == nil {
		return
	}
	if source := p.states[c.Source.ID]; source != nil {
		source.load.Copying -= c.Costs.Copy
	}
}

// Done notes that a request is no longer at an upstream. Begun comes before it.
func (p *Picker) Done(c Choice) { p.states[c.Upstream.ID].load.InFlight-- }
