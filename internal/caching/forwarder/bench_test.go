package forwarder_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gentianstep.example/gentianstep/internal/caching/forwarder"
	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/caching/partitioner"
)

// BenchmarkPush pushes events of one block each, a quarter of which are
// checkpoints.
func BenchmarkPush(b *testing.B) {
	for _, n := range []int{3, 30, 137} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			members := make([]string, 0, n)
			for i := range n {
				members = append(members, fmt.Sprintf("10.0.0.%d:7000", i))
			}
			f := forwarder.New(forwarder.Config{Upstream: "u", Owners: partitioner.New(members)})
			random := rand.New(rand.NewPCG(1, 1))
			now := time.Unix(1000, 0)
			seq := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				seq++
				kind := indexer.Stored
				if seq%2 == 0 {
					kind = indexer.Evicted
				}
				f.Push(now, indexer.Event{Seq: seq, Incarnation: 1, Kind: kind, Model: "m", WeightsVersion: "1", Blocks: []indexer.Block{
					{Hash: hasher.Hash(random.Uint64()), Family: hasher.Hash(random.Uint64N(50) + 1), Index: int(seq)},
				}})
				if seq%24 == 0 {
					f.Flush(now)
				}
			}
		})
	}
}
