package picker

import (
	"net/netip"
	"time"

	"gentianstep.example/gentianstep/internal/caching/cataloguer"
	"gentianstep.example/gentianstep/internal/membership/registrar"
)

// Engine describes the engines of a service.
type Engine struct {
	// TokenBytes is the size of one token's cache.
	TokenBytes float64
	// LinkBytesPerSecond is the rate at which cache moves between engines.
	LinkBytesPerSecond float64
}

// Prompt is the work that a request asks of an engine.
type Prompt struct {
	// Shared lists the leading parts that other requests name too.
	Shared []SharedPart
	// Tokens is the length of the whole prompt.
	Tokens int
	// Weights returns the version of the weights at an upstream.
	Weights func(*registrar.Upstream) uint64
	// Newest is the newest version that is wanted, Due the newest whose time
	// to be everywhere is half over.
	Newest uint64
	Due    uint64
	// Scope names the cache of a version that the request may use.
	Scope func(version uint64) string
	// Holders returns how much of a part each upstream holds.
	Holders func(cataloguer.Part) map[string]cataloguer.Holding
	Engine  Engine
	// Stores lists the stores of kept cache.
	Stores []Store
}

// Store is a store of kept cache.
type Store struct {
	ID                 string
	Address            netip.AddrPort
	AvailabilityZone   string
	LinkBytesPerSecond float64
}

// Source is an engine or a store from which cache is copied.
type Source struct {
	ID      string
	Address netip.AddrPort
	zone    string
	rate    float64
	// copying is the time that the source's link is busy with other copies.
	copying time.Duration
}

// SharedPart is a part of a prompt that is shared.
type SharedPart struct {
	ID     string
	Tokens int
}

// SharedTokens sums the shared parts.
func (p *Prompt) SharedTokens() int {
	total := 0
	for _, part := range p.Shared {
		total += part.Tokens
	}
	return total
}

// Long reports whether the shared parts are worth more than a queue.
func (p *Prompt) Long() bool { return p.SharedTokens() >= longTokens }

// Query describes a request that needs an upstream.
type Query struct {
	Upstreams []*registrar.Upstream
	// OwnLimit is the number of requests that this VM may have at one upstream,
	// Limit the number that all VMs may have there.
	OwnLimit int
	Limit    int
	// BodyBytes is the size of the request.
	BodyBytes int
	// Objective is the time that is left until the first event should come; 0
	// sets no bound to queues.
	Objective time.Duration
	// Prompt is nil for a plain service.
	Prompt *Prompt
	// Others returns the load of the other VMs at an upstream.
	Others func(id string) Load
	// Usable leaves out upstreams that cannot serve the request; nil takes all.
	Usable func(*registrar.Upstream) bool
	// Exclude names upstreams at which the request has failed already.
	Exclude map[string]bool
}

// Costs are the parts of the estimate for one upstream.
type Costs struct {
	// Queue is the wait for what is there already.
	Queue time.Duration
	// Prefill is the time to read what the upstream lacks.
	Prefill time.Duration
	// Fetch is the time to copy cache from elsewhere, with the wait for it; Copy
	// is the part of it that the copy itself takes.
	Fetch time.Duration
	Copy  time.Duration
	// Recompute prices tokens that another upstream holds and that would be read
	// again.
	Recompute time.Duration
	// Distance prices the way to another zone or region.
	Distance time.Duration
	// Stale prices older weights.
	Stale time.Duration
	// Faults prices failures of the recent past.
	Faults time.Duration
}

// Total returns the sum of the costs.
func (c Costs) Total() time.Duration {
	return c.Queue + c.Prefill + c.Fetch + c.Recompute + c.Distance + c.Stale + c.Faults
}

// Choice is the answer to a Query.
type Choice struct {
	Upstream *registrar.Upstream
	Reason   Reason
	// Source is where the chosen one should copy cache from; nil for none.
	Source *Source
	// Save is the store to which it should copy what it reads; nil for none.
	Save *Store
	// Weights is the version of the weights that the choice is based on.
	Weights uint64
	// Scope names the cache to use.
	Scope string
	// PromptTokens is what the chosen one is expected to read.
	PromptTokens int
	// Backlog is the shortest queue where the reason is Behind.
	Backlog time.Duration
	// Candidates counts the upstreams that could have been chosen.
	Candidates int
	// Load is what all VMs had at the chosen one before this.
	Load  Load
	Costs Costs
}
