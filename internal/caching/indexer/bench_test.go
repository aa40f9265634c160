package indexer_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
)

var benchNow = time.Unix(1000, 0)

func benchUpdate(random *rand.Rand, upstream, n int, seq uint64) indexer.Update {
	u := indexer.Update{Kind: indexer.Change, Upstream: fmt.Sprintf("u%03d", upstream), Incarnation: 1, Seq: seq, Model: "m", WeightsVersion: "1"}
	for range n {
		u.Stored = append(u.Stored, hasher.Hash(random.Uint64()))
	}
	return u
}

// BenchmarkBytesPerRecord reports the heap of an index per record and per block held.
func BenchmarkBytesPerRecord(b *testing.B) {
	for _, n := range []int{35_000, 140_000, 560_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				random := rand.New(rand.NewPCG(1, 1))
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				x := indexer.New(indexer.Config{})
				for i := range n / 100 {
					x.Apply(benchNow, benchUpdate(random, i%250, 100, uint64(i+1)))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				perRecord := float64(after.HeapAlloc-before.HeapAlloc) / float64(x.Stats().Records)
				b.ReportMetric(perRecord, "B/record")
				b.ReportMetric(perRecord/hasher.CheckpointBlocks, "B/block")
			}
		})
	}
}

// BenchmarkApply applies updates that store one block and evict another in an index
// at its limit of records.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{35_000, 140_000, 560_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			x := indexer.New(indexer.Config{MaxRecords: n})
			seq := uint64(0)
			for range n / 100 {
				seq++
				x.Apply(benchNow, benchUpdate(random, int(seq%250), 100, seq))
			}
			u := benchUpdate(random, 1, 1, 0)
			u.Evicted = make([]hasher.Hash, 0, 1)
			b.ReportAllocs()
			for b.Loop() {
				// Store a new block and evict the previous one.
				seq++
				u.Seq = seq
				u.Evicted = append(u.Evicted[:0], u.Stored[0])
				u.Stored[0] = hasher.Hash(random.Uint64())
				x.Apply(benchNow, u)
			}
		})
	}
}

// BenchmarkLookup looks up a chain that all holders hold in full.
func BenchmarkLookup(b *testing.B) {
	for _, row := range [][2]int{{16, 1}, {16, 30}, {64, 1}, {64, 30}, {64, 250}} {
		depth, holders := row[0], row[1]
		b.Run(fmt.Sprintf("checkpoints=%d/holders=%d", depth, holders), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			x := indexer.New(indexer.Config{})
			for i := range 1400 {
				x.Apply(benchNow, benchUpdate(random, i%250, 100, uint64(i+1)))
			}
			chain := benchUpdate(random, 0, depth, 1).Stored
			for i := range holders {
				u := benchUpdate(random, i, 0, 1<<20)
				u.Stored = chain
				x.Apply(benchNow, u)
			}
			var buf []indexer.Holding
			b.ReportAllocs()
			for b.Loop() {
				buf = x.Lookup(benchNow, chain, buf[:0])
			}
		})
	}
}
