package bencher

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMin   = int64(1)
	histogramMax   = int64(time.Minute / time.Microsecond)
	histogramSigns = 3
)

// Round is what one round of one way showed.
type Round struct {
	Requests int
	Failed   int
	First    Quantiles
	Whole    Quantiles
}

// Quantiles are those of a set of times.
type Quantiles struct {
	P50, P99 time.Duration
}

// round gathers the samples of one round.
type round struct {
	mu           sync.Mutex
	failed       int
	first, whole *hdrhistogram.Histogram
}

func newRound() *round {
	return &round{
		first: hdrhistogram.New(histogramMin, histogramMax, histogramSigns),
		whole: hdrhistogram.New(histogramMin, histogramMax, histogramSigns),
	}
}

func (r *round) add(s sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.err != nil {
		r.failed++
		return
	}
	_ = r.first.RecordValue(s.first.Microseconds())
	_ = r.whole.RecordValue(s.whole.Microseconds())
}

func (r *round) sum() Round {
	return Round{
		Requests: int(r.first.TotalCount()) + r.failed,
		Failed:   r.failed,
		First:    quantiles(r.first),
		Whole:    quantiles(r.whole),
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		P50: time.Duration(h.ValueAtQuantile(50)) * time.Microsecond,
		P99: time.Duration(h.ValueAtQuantile(99)) * time.Microsecond,
	}
}
