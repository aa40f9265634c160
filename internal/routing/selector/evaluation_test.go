package selector_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// scenario is a row of testdata/evaluation.json: a simulated deployment and the
// limits that its results have to meet. HotShare is the share of requests with the
// same hot prefix; Index adds the shared cache index to each router's own records.
type scenario struct {
	Name           string  `json:"name"`
	Policy         string  `json:"policy"`
	Routers        int     `json:"routers"`
	Upstreams      int     `json:"upstreams"`
	Slots          int     `json:"slots"`
	CacheBlocks    int     `json:"cache_blocks"`
	Rate           float64 `json:"rate"`
	RecomputePrice float64 `json:"recompute_price"`
	Seconds        int     `json:"seconds"`
	Index          bool    `json:"index"`
	HotShare       float64 `json:"hot_share"`
	MinHitRate     float64 `json:"min_hit"`
	// MaxDuplicate limits the share of blocks computed although another upstream
	// held them, MaxLocalDuplicate the share computed although another upstream
	// in the router's region held them.
	MaxDuplicate      float64          `json:"max_elsewhere"`
	MaxLocalDuplicate float64          `json:"max_near"`
	MaxCrossRegion    float64          `json:"max_crossing"`
	MaxP95            checker.Duration `json:"max_p95"`
}

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

// TestEvaluation simulates each scenario with several seeds and checks the cache
// hit rate, duplicate prefill, cross-region requests and the latency of the first
// token.
func TestEvaluation(t *testing.T) {
	t.Parallel()
	var rows []scenario
	scripter.Read(t, "testdata/evaluation.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var waits []time.Duration
			var hitRate, duplicate, localDuplicate, crossRegion float64
			const seeds = 3
			for seed := uint64(1); seed <= seeds; seed++ {
				sim := newSimulation(row, seed)
				sim.run()
				waits = append(waits, sim.waits...)
				hitRate += share(sim.hitBlocks, sim.blocks) / seeds
				duplicate += share(sim.duplicateBlocks, sim.blocks) / seeds
				localDuplicate += share(sim.localDuplicateBlocks, sim.blocks) / seeds
				crossRegion += share(sim.crossRegionJobs, len(sim.waits)) / seeds
			}
			slices.Sort(waits)
			p50, p95 := waits[len(waits)/2], waits[len(waits)*95/100]
			t.Logf("%-28s hit=%.3f duplicate=%.3f local_duplicate=%.3f cross_region=%.3f p50=%s p95=%s n=%d", row.Name, hitRate, duplicate, localDuplicate, crossRegion, p50.Round(time.Millisecond), p95.Round(time.Millisecond), len(waits))
			is.True(hitRate >= row.MinHitRate)
			is.True(duplicate <= row.MaxDuplicate)
			is.True(localDuplicate <= row.MaxLocalDuplicate)
			is.True(crossRegion <= row.MaxCrossRegion)
			is.True(p95 <= row.MaxP95.Std())
		})
	}
}
