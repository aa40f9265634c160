package generator

import (
	"sync"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

// Registry counts the engines that hold each block, over all engines that
// share it.
type Registry struct {
	mu      sync.Mutex
	holders map[hasher.Hash]int
}

// NewRegistry returns a Registry of no blocks.
func NewRegistry() *Registry {
	return &Registry{holders: make(map[hasher.Hash]int)}
}

// held returns how many of the blocks some engine holds.
func (r *Registry) held(blocks []hasher.Hash) int {
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

// change adds the stored blocks and removes the evicted ones.
func (r *Registry) change(stored, evicted []cached) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range stored {
		r.holders[b.block.Hash]++
	}
	for _, b := range evicted {
		r.drop(b.block.Hash)
	}
}

func (r *Registry) drop(h hasher.Hash) {
	r.holders[h]--
	if r.holders[h] == 0 {
		delete(r.holders, h)
	}
}
