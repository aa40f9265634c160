package generator

import (
	"sync"
	"time"
)

// WeightStore is a weight store that runs a limited number of loads at full rate. A
// load that starts beyond that limit takes longer, in proportion to the number
// of concurrent loads.
type WeightStore struct {
	// FullRateLoads is the number of concurrent loads that run at full rate; 0
	// means no limit.
	FullRateLoads int

	mu             sync.Mutex
	activeLoads    int
	maxActiveLoads int
}

// beginLoad starts a load and returns its duration. base is the duration at
// full rate.
func (w *WeightStore) beginLoad(base time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.activeLoads++
	w.maxActiveLoads = max(w.maxActiveLoads, w.activeLoads)
	if w.FullRateLoads == 0 || w.activeLoads <= w.FullRateLoads {
		return base
	}
	return base * time.Duration(w.activeLoads) / time.Duration(w.FullRateLoads)
}

func (w *WeightStore) endLoad() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.activeLoads--
}

// MaxConcurrentLoads returns the highest number of concurrent loads so far.
func (w *WeightStore) MaxConcurrentLoads() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.maxActiveLoads
}
