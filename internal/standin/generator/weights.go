package generator

import (
	"sync"
	"time"
)

// Weights is a weight store that serves a few loads at full rate. More at once
// share that rate.
type Weights struct {
	// FullRateLoads is the number of loads at full rate; 0 is no limit.
	FullRateLoads int

	mu    sync.Mutex
	loads int
	most  int
}

// begin starts a load and returns how long it takes.
func (w *Weights) begin(base time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loads++
	w.most = max(w.most, w.loads)
	if w.FullRateLoads == 0 || w.loads <= w.FullRateLoads {
		return base
	}
	return base * time.Duration(w.loads) / time.Duration(w.FullRateLoads)
}

func (w *Weights) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loads--
}

// Most returns the highest number of loads at one time.
func (w *Weights) Most() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.most
}
