// Package archiver stands in for the store of kept cache of one region, from
// which engines import blocks that were computed before.
package archiver

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

// defaultBlocks bounds a store whose size is not set.
const defaultBlocks = 1 << 16

// Config holds what a Store is built from.
type Config struct {
	// Blocks bounds the store; 0 takes a default.
	Blocks int
	// ImportPerBlock is the time to send one block.
	ImportPerBlock time.Duration
}

// Store holds block hashes with what they belong to and drops the least
// recently used one.
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
		return nil, fmt.Errorf("store of %d blocks: %w", cfg.Blocks, err)
	}
	return &Store{cfg: cfg, blocks: blocks}, nil
}

// Import sends the blocks of chain from the one at held on and returns how many
// leading blocks the engine then has.
func (s *Store) Import(ctx context.Context, scope hasher.Scope, held int, chain []hasher.Hash) (int, error) {
	n := s.has(scope, held, chain)
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

// Export takes the blocks of chain. A block that another scope exported before
// stays as it is.
func (s *Store) Export(_ context.Context, scope hasher.Scope, chain []hasher.Hash) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(chain) - 1; i >= 0; i-- {
		if _, known := s.blocks.Get(chain[i]); !known {
			s.blocks.Add(chain[i], scope)
		}
	}
	return nil
}

// has returns the end of the run of blocks from held on that were exported
// with the very same scope.
func (s *Store) has(scope hasher.Scope, held int, chain []hasher.Hash) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := held; i < len(chain); i++ {
		owner, known := s.blocks.Get(chain[i])
		if !known || owner != scope {
			return i
		}
	}
	return len(chain)
}
