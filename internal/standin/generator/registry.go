package generator

import (
	"sync"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

// Registry counts the engines that hold each block, across all engines that
// share the registry.
type Registry struct {
	mu      sync.Mutex
	holders map[hasher.Hash]int
}

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry {
	return &Registry{holders: make(map[hasher.Hash]int)}
}

// countHeld returns the number of blocks that at least one engine holds.
func (r *Registry) countHeld(blocks []hasher.Hash) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, h := range blocks {
		if r.holders[h] > 0 {
			n++
		}
	}
	return n
}

// update adds a holder to the stored blocks and removes one from the evicted blocks.
func (r *Registry) update(stored, evicted []cachedBlock) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range stored {
		r.holders[b.block.Hash]++
	}
	for _, b := range evicted {
		r.removeHolder(b.block.Hash)
	}
}

func (r *Registry) removeHolder(h hasher.Hash) {
	r.holders[h]--
	if r.holders[h] == 0 {
		delete(r.holders, h)
	}
}
