package selector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/routing/selector"
)

// benchInput returns a request and n candidates, a tenth of which hold the given
// number of leading blocks.
func benchInput(n, held int) (selector.Request, []selector.Candidate) {
	random := rand.New(rand.NewPCG(1, 1))
	r := selector.Request{Region: "a", SharedBlocks: 96, Replicas: 2, PromptBytes: 200 * hasher.BlockBytes}
	for range 200 {
		r.Chain = append(r.Chain, hasher.Hash(random.Uint64()))
	}
	candidates := make([]selector.Candidate, n)
	for i := range candidates {
		candidates[i] = selector.Candidate{
			Name: fmt.Sprintf("upstream-%03d", i), Region: string(rune('a' + i%3)), Slots: 8,
			Running: float64(random.IntN(10)), QueuedBlocks: float64(random.IntN(50)),
			PrefillPerBlock: 2 * time.Millisecond, ServiceTime: time.Second,
		}
		if random.IntN(10) == 0 {
			candidates[i].HeldBlocks = held
		}
	}
	return r, candidates
}

func BenchmarkSelect(b *testing.B) {
	for _, name := range checker.SelectionNames {
		for _, row := range [][2]int{{12, 192}, {100, 192}, {740, 192}, {740, 48}} {
			n, held := row[0], row[1]
			b.Run(fmt.Sprintf("%s/%d/held=%d", name, n, held), func(b *testing.B) {
				p, err := selector.New(selector.Config{
					Selection: checker.SelectionPolicy{Name: name, RecomputePrice: 1, CrossingLatency: checker.Duration(30 * time.Millisecond), CrossingPrice: checker.Duration(time.Second)},
					Random:    rand.New(rand.NewPCG(1, 1)),
				})
				if err != nil {
					b.Fatal(err)
				}
				r, candidates := benchInput(n, held)
				b.ReportAllocs()
				for b.Loop() {
					p.Select(time.Time{}, r, candidates)
				}
			})
		}
	}
}
