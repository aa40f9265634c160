package bencher

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMin               = int64(1)
	histogramMax               = int64(time.Minute / time.Microsecond)
	histogramSignificantDigits = 3
)

// Round holds the results of one round, direct or through the router.
type Round struct {
	Requests int
	Failed   int
	First    Quantiles
	Whole    Quantiles
}

// Quantiles holds the quantiles of a latency distribution.
type Quantiles struct {
	P50, P99 time.Duration
}

// round collects the samples of one round.
type round struct {
	mu                sync.Mutex
	failed            int
	firstToken, whole *hdrhistogram.Histogram
}

func newRound() *round {
	return &round{
		firstToken: hdrhistogram.New(histogramMin, histogramMax, histogramSignificantDigits),
		whole:      hdrhistogram.New(histogramMin, histogramMax, histogramSignificantDigits),
	}
}

func (r *round) add(s sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.err != nil {
		r.failed++
		return
	}
	_ = r.firstToken.RecordValue(s.firstToken.Microseconds())
	_ = r.whole.RecordValue(s.whole.Microseconds())
}

func (r *round) summary() Round {
	return Round{
		Requests: int(r.firstToken.TotalCount()) + r.failed,
		Failed:   r.failed,
		First:    quantiles(r.firstToken),
		Whole:    quantiles(r.whole),
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		P50: time.Duration(h.ValueAtQuantile(50)) * time.Microsecond,
		P99: time.Duration(h.ValueAtQuantile(99)) * time.Microsecond,
	}
}
