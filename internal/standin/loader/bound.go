package loader

import (
	"fmt"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

// Bound returns the prefix hit rate of one cache of that many blocks that
// serves all arrivals in order, those before counted only to fill it.
func Bound(w Workload, arrivals []Arrival, blocks int, counted func(Arrival) bool) (float64, error) {
	cache, err := simplelru.NewLRU[hasher.Hash, struct{}](blocks, nil)
	if err != nil {
		return 0, fmt.Errorf("bound: %w", err)
	}
	texts := newPrompts(w)
	held, total := 0, 0
	for _, a := range arrivals {
		scope := hasher.Scope{Organisation: w.OrganisationName(a.Organisation), Model: w.Model, WeightsVersion: "w1"}
		chain := hasher.Chain(scope, texts.text(a))
		n := leading(cache, chain)
		if counted(a) {
			held += n
			total += len(chain)
		}
		for i := len(chain) - 1; i >= 0; i-- {
			cache.Add(chain[i], struct{}{})
		}
	}
	if total == 0 {
		return 0, fmt.Errorf("bound: no request was counted")
	}
	return float64(held) / float64(total), nil
}

func leading(cache *simplelru.LRU[hasher.Hash, struct{}], chain []hasher.Hash) int {
	for i, h := range chain {
		if !cache.Contains(h) {
			return i
		}
	}
	return len(chain)
}
