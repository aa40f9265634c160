package loader

import (
	"fmt"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

// Bound returns the prefix hit rate of a single LRU cache with the given number of
// blocks that serves all arrivals in order. Arrivals for which counted is false
// fill the cache, but don't count towards the rate.
func Bound(w Workload, arrivals []Arrival, blocks int, counted func(Arrival) bool) (float64, error) {
	cache, err := simplelru.NewLRU[hasher.Hash, struct{}](blocks, nil)
	if err != nil {
		return 0, fmt.Errorf("create cache of the bound: %w", err)
	}
	prompts := newPrompts(w)
	hits, total := 0, 0
	for _, a := range arrivals {
		scope := hasher.Scope{Organisation: w.OrganisationName(a.Organisation), Model: w.Model, WeightsVersion: "w1"}
		chain := hasher.Chain(scope, prompts.text(a))
		n := cachedPrefixLength(cache, chain)
		if counted(a) {
			hits += n
			total += len(chain)
		}
		for i := len(chain) - 1; i >= 0; i-- {
			cache.Add(chain[i], struct{}{})
		}
	}
	if total == 0 {
		return 0, fmt.Errorf("compute bound: no request was counted")
	}
	return float64(hits) / float64(total), nil
}

func cachedPrefixLength(cache *simplelru.LRU[hasher.Hash, struct{}], chain []hasher.Hash) int {
	for i, h := range chain {
		if !cache.Contains(h) {
			return i
		}
	}
	return len(chain)
}
