package loader

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the longest latency in the histograms. Longer ones are recorded
	// as maxLatency.
	maxLatency                 = 2 * time.Minute
	histogramMin               = int64(10 * time.Microsecond / time.Microsecond)
	histogramMax               = int64(maxLatency / time.Microsecond)
	histogramSignificantDigits = 3
)

// Latency holds the quantiles of a latency distribution.
type Latency struct {
	P50 time.Duration `json:"p50"`
	P95 time.Duration `json:"p95"`
	P99 time.Duration `json:"p99"`
}

// Result holds the configuration and the counted results of one load.
type Result struct {
	Workload string  `json:"workload"`
	Policy   string  `json:"policy"`
	Seed     uint64  `json:"seed"`
	Rate     float64 `json:"rate"`
	// Load is the rate as a share of the rate at full committed capacity.
	Load      float64 `json:"load"`
	Requests  int     `json:"requests"`
	Complete  int     `json:"whole"`
	Refused   int     `json:"refused"`
	Failed    int     `json:"broken"`
	Wrong     int     `json:"wrong"`
	Tokens    int     `json:"tokens"`
	HitRate   float64 `json:"hit_rate"`
	BoundRate float64 `json:"bound_rate"`
	// Recomputed is the number of blocks that were computed although a running
	// engine had them cached.
	Recomputed        int     `json:"recomputed"`
	Computed          int     `json:"computed"`
	FirstToken        Latency `json:"first_token"`
	BatchFirstToken   Latency `json:"batch_first_token"`
	CrossRegionMB     float64 `json:"crossing_mb"`
	CompletePerSecond float64 `json:"whole_per_second"`
	// CompleteByOrganisation counts the complete responses for each organisation,
	// RequestsByOrganisation its requests. Both exclude the requests of a flood.
	CompleteByOrganisation []int `json:"by_organisation"`
	RequestsByOrganisation []int `json:"asked"`
	// Case names the condition that was tested under the load, such as "crash".
	Case string `json:"case,omitempty"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramSignificantDigits)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	value := min(max(d.Microseconds(), histogramMin), histogramMax)
	_ = h.RecordValue(value)
}

func quantiles(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	return Latency{P50: at(50), P95: at(95), P99: at(99)}
}
