// Package generator simulates a model engine: it runs requests concurrently in
// a fixed number of slots, keeps a bounded prefix cache and streams tokens that
// can be derived from the prompt.
package generator

import (
	"time"

	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// Config configures an Engine.
type Config struct {
	Name   string
	Models []observer.LoadedModel
	// Slots is the number of requests that run concurrently.
	Slots int
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// PrefillPerBlock is the time to compute one prompt block that is not cached.
	PrefillPerBlock time.Duration
	// TokenInterval is the time between two tokens of a stream.
	TokenInterval time.Duration
	// ChecksFencing makes the engine refuse orders whose fencing number is lower
	// than the highest one accepted.
	ChecksFencing bool
	// LoadTime is the time to load one version of a model's weights at full rate.
	LoadTime time.Duration
	// IgnoresConditions makes the engine execute orders past their deadline and
	// orders for another incarnation.
	IgnoresConditions bool
	// WeightStore is the store that weights are loaded from. If it is nil, every
	// load runs at full rate.
	WeightStore *WeightStore
	// EventDelay is the delay before cache events are published. If it is 0, the
	// default applies.
	EventDelay time.Duration
	// Registry counts the holders of each block across the engines that share it.
	// If it is nil, the engine uses its own.
	Registry *Registry
	// CacheStore is the external cache store, or nil if there is none.
	CacheStore CacheStore
	// Incarnation identifies this start of the engine.
	Incarnation uint64
	// CrashText makes the engine crash when it begins to generate for a prompt that
	// contains the text; empty for none. OnCrash is called then and ends its server.
	CrashText string
	OnCrash   func()
}
