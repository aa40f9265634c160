package messenger_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// BenchmarkSize reports the encoded size of the messages that grow with the
// deployment, without WebSocket framing.
func BenchmarkSize(b *testing.B) {
	for _, n := range []int{1, 16, 64} {
		messages := map[string]messenger.Message{
			"reports":  {Reports: &messenger.Reports{Reports: reportsOf(n)}},
			"lookup":   {Lookup: &messenger.Lookup{ID: 1 << 20, Checkpoints: hashesOf(n)}},
			"holdings": {LookupReply: &messenger.LookupReply{ID: 1 << 20, Holdings: holdingsOf(n)}},
			"updates":  {IndexUpdates: &messenger.IndexUpdates{Updates: []indexer.Update{updateOf(n)}}},
			"head":     {BundleHead: &messenger.BundleHead{Version: 1 << 16}},
		}
		for name, m := range messages {
			b.Run(fmt.Sprintf("%s_%d", name, n), func(b *testing.B) {
				size := 0
				for b.Loop() {
					data, err := messenger.Encode(m)
					if err != nil {
						b.Fatal(err)
					}
					size = len(data)
				}
				b.ReportMetric(float64(size), "B/message")
			})
		}
	}
}

func hashesOf(n int) []hasher.Hash {
	hashes := make([]hasher.Hash, n)
	for i := range hashes {
		hashes[i] = hasher.Hash(1<<63) + hasher.Hash(i)
	}
	return hashes
}

func reportsOf(n int) []observer.Report {
	reports := make([]observer.Report, n)
	for i := range reports {
		reports[i] = observer.Report{
			Upstream:     fmt.Sprintf("tile-match-%03d", i),
			Incarnation:  1 << 60,
			At:           time.Unix(1<<30, 0),
			Queued:       3,
			Running:      40,
			QueuedBlocks: 300,
			Models:       []observer.LoadedModel{{Name: "tile-match", WeightsVersion: "w1"}},
		}
	}
	return reports
}

func holdingsOf(n int) []indexer.Holding {
	holdings := make([]indexer.Holding, n)
	for i := range holdings {
		holdings[i] = indexer.Holding{Upstream: fmt.Sprintf("tile-match-%03d", i), Incarnation: 1 << 60, HeldBlocks: 64}
	}
	return holdings
}

func updateOf(n int) indexer.Update {
	return indexer.Update{
		Kind:           indexer.Change,
		Upstream:       "tile-match-001",
		Incarnation:    1 << 60,
		Seq:            1 << 20,
		Model:          "tile-match",
		WeightsVersion: "w1",
		Stored:         hashesOf(n),
	}
}

// BenchmarkEventSize reports the size of one cache event in the JSON that engines
// publish.
func BenchmarkEventSize(b *testing.B) {
	for _, n := range []int{1, 16, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e := indexer.Event{
				Seq:            1 << 20,
				Incarnation:    1 << 60,
				Kind:           indexer.Stored,
				Model:          "tile-match",
				WeightsVersion: "w1",
				Blocks:         indexer.BlocksOf(hashesOf(n+4), 4),
			}
			size := 0
			for b.Loop() {
				data, err := json.Marshal(e)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "B/event")
		})
	}
}
