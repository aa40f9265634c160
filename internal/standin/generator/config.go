// Package generator stands in for a model engine: it batches requests, keeps a
// bounded cache of prompt blocks and streams numbered tokens.
package generator

import (
	"time"

	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// Config holds what an Engine is built from.
type Config struct {
	Name   string
	Models []observer.LoadedModel
	// Slots is the number of requests that run side by side.
	Slots int
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
	// PrefillPerBlock is the time to compute one missing block.
	PrefillPerBlock time.Duration
	// TokenInterval is the time between two tokens of one stream.
	TokenInterval time.Duration
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// LoadTime is the time to load one version of a model's weights.
	LoadTime time.Duration
	// IgnoresConditions makes the engine carry out late orders and orders that
	// were meant for another incarnation.
	IgnoresConditions bool
	// Weights is the store that weights are loaded from; nil is one of its own.
	Weights *Weights
	// EventDelay is how late cache events are published.
	EventDelay time.Duration
	// Registry counts holders over several engines; nil counts this one alone.
	Registry *Registry
	// Kept is the store of kept cache; nil is none.
	Kept KeptStore
	// Incarnation tells this start of the engine from earlier ones.
	Incarnation uint64
}
