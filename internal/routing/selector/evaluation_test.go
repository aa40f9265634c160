package selector_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// scenario is one row of testdata/evaluation.json.
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
	MinHit         float64 `json:"min_hit"`
	// MaxElsewhere bounds the computed blocks that any other upstream held,
	// MaxNear those that one of the router's region held.
	MaxElsewhere float64          `json:"max_elsewhere"`
	MaxNear      float64          `json:"max_near"`
	MaxCrossing  float64          `json:"max_crossing"`
	MaxP95       checker.Duration `json:"max_p95"`
}

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

func TestEvaluation(t *testing.T) {
	t.Parallel()
	var rows []scenario
	scripter.Read(t, "testdata/evaluation.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var waits []time.Duration
			var hit, elsewhere, near, crossing float64
			const seeds = 3
			for seed := uint64(1); seed <= seeds; seed++ {
				f := newFleet(row, seed)
				f.run()
				waits = append(waits, f.waits...)
				hit += share(f.hit, f.blocks) / seeds
				elsewhere += share(f.elsewhere, f.blocks) / seeds
				near += share(f.near, f.blocks) / seeds
				crossing += share(f.crossing, len(f.waits)) / seeds
			}
			slices.Sort(waits)
			p50, p95 := waits[len(waits)/2], waits[len(waits)*95/100]
			t.Logf("%-28s hit=%.3f elsewhere=%.3f near=%.3f crossing=%.3f p50=%s p95=%s n=%d", row.Name, hit, elsewhere, near, crossing, p50.Round(time.Millisecond), p95.Round(time.Millisecond), len(waits))
			is.True(hit >= row.MinHit)
			is.True(elsewhere <= row.MaxElsewhere)
			is.True(near <= row.MaxNear)
			is.True(crossing <= row.MaxCrossing)
			is.True(p95 <= row.MaxP95.Std())
		})
	}
}
