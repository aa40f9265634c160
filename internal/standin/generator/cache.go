package generator

import (
	"fmt"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// cachedBlock is a block in the cache with the model version that computed it.
type cachedBlock struct {
	block indexer.Block
	model observer.LoadedModel
}

// cache is an LRU cache of computed prompt blocks.
type cache struct {
	blocks  *simplelru.LRU[hasher.Hash, cachedBlock]
	evicted []cachedBlock
}

func newCache(size int) *cache {
	c := &cache{}
	blocks, err := simplelru.NewLRU(size, func(_ hasher.Hash, b cachedBlock) {
		c.evicted = append(c.evicted, b)
	})
	if err != nil {
		panic(fmt.Sprintf("create cache of %d blocks: %v", size, err))
	}
	c.blocks = blocks
	return c
}

// countHeldPrefix returns the number of leading blocks of chain that are cached.
func (c *cache) countHeldPrefix(chain []hasher.Hash) int {
	for i, h := range chain {
		if !c.blocks.Contains(h) {
			return i
		}
	}
	return len(chain)
}

// insert adds the missing blocks of chain and marks all of them as recently
// used, the first block most recently, so that a chain is evicted from its end.
// It returns the blocks that were added and those that were evicted.
func (c *cache) insert(model observer.LoadedModel, chain []hasher.Hash) (stored, evicted []cachedBlock) {
	c.evicted = nil
	blocks := indexer.BlocksOf(chain, 0)
	for i := len(blocks) - 1; i >= 0; i-- {
		if _, ok := c.blocks.Get(blocks[i].Hash); ok {
			continue
		}
		b := cachedBlock{block: blocks[i], model: model}
		c.blocks.Add(b.block.Hash, b)
		stored = append(stored, b)
	}
	return stored, c.evicted
}

// clear evicts all blocks and returns them.
func (c *cache) clear() []cachedBlock {
	c.evicted = nil
	c.blocks.Purge()
	return c.evicted
}
