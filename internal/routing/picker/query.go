package picker

import (
	"net/netip"
	"time"

	"gentianstep.example/gentianstep/internal/caching/cataloguer"
	"gentianstep.example/gentianstep/internal/membership/registrar"
)

// Engine holds the properties of a service's engines.
type Engine struct {
	// TokenBytes is the size of the KV cache of one token.
	TokenBytes float64
	// LinkBytesPerSecond is the transfer rate of KV cache between engines.
	LinkBytesPerSecond float64
}

// Prompt describes the prompt of a request to an engine.
type Prompt struct {
	// Shared lists the leading parts that other requests have in common.
	Shared []SharedPart
	// Tokens is the length of the whole prompt in tokens.
	Tokens int
	// WeightsVersion returns the version of the weights that an upstream
	// serves.
	WeightsVersion func(*registrar.Upstream) uint64
	// NewestVersion is the newest wanted version of the weights. DueVersion is
	// the newest version whose roll-out time is about half over; engines with
	// older ones get no request that has to wait for a slot.
	NewestVersion uint64
	DueVersion    uint64
	// Scope returns the name of the cache scope that the request may use at a
	// version of the weights.
	Scope func(version uint64) string
	// Holders returns what each upstream and store holds of a part, by its ID.
	Holders func(cataloguer.Part) map[string]cataloguer.Holding
	Engine  Engine
	// Stores lists the cache stores.
	Stores []Store
}

// Store is a cache store: it keeps KV cache that outlasts the memory of
// engines.
type Store struct {
	ID                 string
	Address            netip.AddrPort
	AvailabilityZone   string
	LinkBytesPerSecond float64
}

// Source is an engine or a store from which KV cache is copied.
type Source struct {
	ID      string
	Address netip.AddrPort

	availabilityZone string
	// rate is the transfer rate in bytes per second.
	rate float64
	// copying is the time that the source's link is busy with other copies.
	copying time.Duration
}

// SharedPart is a part of a prompt that other requests have in common.
type SharedPart struct {
	ID     string
	Tokens int
}

// SharedTokens returns the length of all shared parts in tokens.
func (p *Prompt) SharedTokens() int {
	total := 0
	for _, part := range p.Shared {
		total += part.Tokens
	}
	return total
}

// PrefixID returns the ID of the last shared part. It stands for all shared parts, since a
// part follows the same parts wherever it is shared.
func (p *Prompt) PrefixID() string { return p.Shared[len(p.Shared)-1].ID }

// Long reports whether the shared parts are long enough to route the request by
// cached prefixes.
func (p *Prompt) Long() bool { return p.SharedTokens() >= minLongPromptTokens }

// Limits are the maximum numbers of requests in flight at an upstream.
type Limits struct {
	// Own is that of this VM, All that of all VMs together.
	Own int
	All int
}

// Query describes a request to route.
type Query struct {
	Upstreams []*registrar.Upstream
	// Sources are upstreams that take no request now, but from which KV cache may be copied.
	Sources []*registrar.Upstream
	// Limits returns the limits of an upstream.
	Limits func(u *registrar.Upstream) Limits
	// Speed returns the speed of an engine relative to the mean of its service; nil stands
	// for equal speeds. All VMs should get the same one, since homes depend on it.
	Speed func(*registrar.Upstream) float64
	// BodyBytes is the size of the request body.
	BodyBytes int
	// Objective is the time left until the latency objective of the first
	// event; 0 sets no bound on queues.
	Objective time.Duration
	// HoldTime is the mean time for which requests were at upstreams of the service
	// lately, 0 if it is not known. Short prompts are then not held back.
	HoldTime time.Duration
	// Prompt is nil for a service without engines.
	Prompt *Prompt
	// OtherLoad returns the load that other VMs have at an upstream or store.
	OtherLoad func(id string) Load
	// OtherVMs is the number of other VMs that send to the same upstreams, and LoadAge
	// the age of the loads that this VM knows of them.
	OtherVMs int
	LoadAge  time.Duration
	// LoadsAt is when the latest loads of the other VMs were received, zero if none are known.
	LoadsAt time.Time
	// Usable reports whether an upstream can serve the request; nil admits all.
	Usable func(*registrar.Upstream) bool
	// Exclude holds the IDs of upstreams at which the request has already
	// failed.
	Exclude map[string]bool
}

// Costs holds the components of the estimated cost of one upstream.
type Costs struct {
	// Queue is the wait for requests that are already at the upstream.
	Queue time.Duration
	// Prefill is the time to prefill the tokens that the upstream has not
	// cached.
	Prefill time.Duration
	// Fetch is the time to copy KV cache from another upstream or a store,
	// including the wait for its link. Copy is the part of Fetch without the
	// wait.
	Fetch time.Duration
	Copy  time.Duration
	// Recompute is the penalty for prefilling tokens that another upstream has
	// cached, or for sending the prompt to an upstream other than its home.
	Recompute time.Duration
	// Distance is the cost of the path to another availability zone or region.
	Distance time.Duration
	// StaleWeights is the penalty for older weights.
	StaleWeights time.Duration
	// Failures is the penalty for recent failures.
	Failures time.Duration
}

// Total returns the sum of the costs. Copy is part of Fetch.
func (c Costs) Total() time.Duration {
	return c.Queue + c.Prefill + c.Fetch + c.Recompute + c.Distance + c.StaleWeights + c.Failures
}

// Choice is the result of a Query.
type Choice struct {
	Upstream *registrar.Upstream
	Reason   Reason
	// Source is the source from which the upstream should copy KV cache, nil
	// for none.
	Source *Source
	// SaveStore is the store to which the upstream should save the KV cache of
	// the prompt, nil for none.
	SaveStore *Store
	// WeightsVersion is the version of the weights on which the choice is
	// based.
	WeightsVersion uint64
	// Scope is the name of the cache scope to use.
	Scope string
	// PromptTokens is the number of tokens that the upstream is expected to
	// prefill, the least of all upstreams if the reason is Behind.
	PromptTokens int
	// Backlog is the shortest wait in a queue if the reason is Behind.
	Backlog time.Duration
	// QueueTooLong is true if the reason is Behind and not only because of weights that
	// may have to be replaced.
	QueueTooLong bool
	// Candidates is the number of upstreams considered.
	Candidates int
	// Load is the load of all VMs at the upstream before this request.
	Load Load
	// Speed is the speed of the upstream relative to the mean that the costs assume.
	Speed float64
	// Costs are those at the upstream, or at the one with the earliest first event if
	// the reason is Behind.
	Costs Costs

	// prompt is true if the request has a prompt.
	prompt bool
}
