package generator

import (
	"sync"
	"time"
)

// WeightStore runs a limited number of loads of weights at full rate. A load that
// starts beyond that limit takes longer, in proportion to the number of
// concurrent loads.
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
func (s *WeightStore) beginLoad(base time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeLoads++
	s.maxActiveLoads = max(s.maxActiveLoads, s.activeLoads)
	if s.FullRateLoads == 0 || s.activeLoads <= s.FullRateLoads {
		return base
	}
	return base * time.Duration(s.activeLoads) / time.Duration(s.FullRateLoads)
}

func (s *WeightStore) endLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeLoads--
}

// MaxConcurrentLoads returns the highest number of concurrent loads so far.
func (s *WeightStore) MaxConcurrentLoads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxActiveLoads
}
