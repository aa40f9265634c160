package generator

import (
	"fmt"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// cached is a block in the cache with the weights that computed it.
type cached struct {
	block indexer.Block
	model observer.LoadedModel
}

// cache holds computed blocks and evicts the least recently used one.
type cache struct {
	blocks  *simplelru.LRU[hasher.Hash, cached]
	evicted []cached
}

func newCache(size int) *cache {
	c := &cache{}
	blocks, err := simplelru.NewLRU(size, func(_ hasher.Hash, b cached) {
		c.evicted = append(c.evicted, b)
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
func (c *cache) store(model observer.LoadedModel, chain []hasher.Hash) (stored, evicted []cached) {
	c.evicted = nil
	blocks := indexer.BlocksOf(chain, 0)
	for i := len(blocks) - 1; i >= 0; i-- {
		if _, ok := c.blocks.Get(blocks[i].Hash); ok {
			continue
		}
		b := cached{block: blocks[i], model: model}
		c.blocks.Add(b.block.Hash, b)
		stored = append(stored, b)
	}
	return stored, c.evicted
}

// clear drops every block and returns them.
func (c *cache) clear() []cached {
	c.evicted = nil
	c.blocks.Purge()
	return c.evicted
}
