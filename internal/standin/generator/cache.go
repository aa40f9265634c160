package generator

import (
	"fmt"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

// cache holds computed blocks and evicts the least recently used one.
type cache struct {
	blocks  *simplelru.LRU[hasher.Hash, struct{}]
	evicted []hasher.Hash
}

func newCache(size int) *cache {
	c := &cache{}
	blocks, err := simplelru.NewLRU(size, func(h hasher.Hash, _ struct{}) {
		c.evicted = append(c.evicted, h)
	})
	if err != nil {
		panic(fmt.Sprintf("cache of %d blocks: %v", size, err))
	}
	c.blocks = blocks
	return c
}

// held returns the number of leading blocks of chain that are cached.
func (c *cache) held(chain []hasher.Hash) int {
	for i, h := range chain {
		if !c.blocks.Contains(h) {
			return i
		}
	}
	return len(chain)
}

// store marks all blocks of chain as just used, the first one as the latest,
// and returns the blocks that are new and those that had to go.
func (c *cache) store(chain []hasher.Hash) (stored, evicted []hasher.Hash) {
	c.evicted = nil
	for i := len(chain) - 1; i >= 0; i-- {
		if _, ok := c.blocks.Get(chain[i]); ok {
			continue
		}
		c.blocks.Add(chain[i], struct{}{})
		stored = append(stored, chain[i])
	}
	return stored, c.evicted
}
