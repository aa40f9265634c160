package loader

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longestLatency is the largest time that the histograms tell apart.
	longestLatency = 2 * time.Minute
	histogramMin   = int64(10 * time.Microsecond / time.Microsecond)
	histogramMax   = int64(longestLatency / time.Microsecond)
	histogramSigns = 3
)

// Latency are quantiles of a set of times.
type Latency struct {
	P50 time.Duration `json:"p50"`
	P95 time.Duration `json:"p95"`
	P99 time.Duration `json:"p99"`
}

// Result is what came back from one load.
type Result struct {
	Workload string  `json:"workload"`
	Policy   string  `json:"policy"`
	Seed     uint64  `json:"seed"`
	Rate     float64 `json:"rate"`
	// Load is the rate as a share of the committed capacity.
	Load      float64 `json:"load"`
	Requests  int     `json:"requests"`
	Whole     int     `json:"whole"`
	Refused   int     `json:"refused"`
	Broken    int     `json:"broken"`
	Wrong     int     `json:"wrong"`
	Tokens    int     `json:"tokens"`
	HitRate   float64 `json:"hit_rate"`
	BoundRate float64 `json:"bound_rate"`
	// Recomputed is the number of blocks that were computed although a live
	// engine held them.
	Recomputed  int     `json:"recomputed"`
	Computed    int     `json:"computed"`
	FirstToken  Latency `json:"first_token"`
	BatchFirst  Latency `json:"batch_first_token"`
	CrossingMB  float64 `json:"crossing_mb"`
	WholePerSec float64 `json:"whole_per_second"`
	// ByOrganisation counts the whole answers of each organisation, Asked its
	// requests; those of a flood are left out of both.
	ByOrganisation []int `json:"by_organisation"`
	Asked          []int `json:"asked"`
	// Case names what was done beside the load, such as "crash".
	Case string `json:"case,omitempty"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramSigns)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	value := min(max(d.Microseconds(), histogramMin), histogramMax)
	_ = h.RecordValue(value)
}

func latency(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	return Latency{P50: at(50), P95: at(95), P99: at(99)}
}
