// Package archiver simulates the external cache store of a region, from which
// engines import blocks that an engine computed and exported before.
package archiver

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

// defaultBlocks is the capacity of a store if Config.Blocks is 0.
const defaultBlocks = 1 << 16

// Config configures a Store.
type Config struct {
	// Blocks is the capacity of the store in blocks. If it is 0, the default
	// applies.
	Blocks int
	// ImportPerBlock is the time to send one block to an engine.
	ImportPerBlock time.Duration
}

// Store holds block hashes with the scope that exported them. It evicts the least
// recently used block when it is full.
type Store struct {
	cfg    Config
	mu     sync.Mutex
	blocks *simplelru.LRU[hasher.Hash, hasher.Scope]
}

// New returns an empty Store.
func New(cfg Config) (*Store, error) {
	if cfg.Blocks == 0 {
		cfg.Blocks = defaultBlocks
	}
	blocks, err := simplelru.NewLRU[hasher.Hash, hasher.Scope](cfg.Blocks, nil)
	if err != nil {
		return nil, fmt.Errorf("create store of %d blocks: %w", cfg.Blocks, err)
	}
	return &Store{cfg: cfg, blocks: blocks}, nil
}

// Import simulates sending the blocks of chain after the first held ones. It
// returns the number of leading blocks of chain that the engine then has.
func (s *Store) Import(ctx context.Context, scope hasher.Scope, held int, chain []hasher.Hash) (int, error) {
	n := s.findRunEnd(scope, held, chain)
	if n == held {
		return n, nil
	}
	timer := time.NewTimer(time.Duration(n-held) * s.cfg.ImportPerBlock)
	defer timer.Stop()
	select {
	case <-timer.C:
		return n, nil
	case <-ctx.Done():
		return held, ctx.Err()
	}
}

// Export adds the blocks of chain to the store and marks the first one as the
// most recently used. A block that is already stored keeps its scope.
func (s *Store) Export(_ context.Context, scope hasher.Scope, chain []hasher.Hash) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(chain) - 1; i >= 0; i-- {
		if _, ok := s.blocks.Get(chain[i]); !ok {
			s.blocks.Add(chain[i], scope)
		}
	}
	return nil
}

// findRunEnd returns the index after the last of the consecutive blocks from
// index held on that were exported with the same scope.
func (s *Store) findRunEnd(scope hasher.Scope, held int, chain []hasher.Hash) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := held; i < len(chain); i++ {
		owner, ok := s.blocks.Get(chain[i])
		if !ok || owner != scope {
			return i
		}
	}
	return len(chain)
}
