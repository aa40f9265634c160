package indexer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
)

// belief is what a plain model of the index knows of one upstream.
type belief struct {
	incarnation, seq uint64
	weights          string
	held             map[hasher.Hash]bool
}

func (b *belief) apply(u indexer.Update) {
	if u.Incarnation < b.incarnation {
		return
	}
	if u.Incarnation > b.incarnation {
		*b = belief{incarnation: u.Incarnation, weights: b.weights, held: map[hasher.Hash]bool{}}
	}
	if u.Seq < b.seq || u.Kind == indexer.Change && u.Seq == b.seq {
		return
	}
	if u.Kind == indexer.Full || b.weights != u.WeightsVersion {
		clear(b.held)
	}
	b.seq, b.weights = u.Seq, u.WeightsVersion
	for _, h := range u.Stored {
		b.held[h] = true
	}
	for _, h := range u.Evicted {
		delete(b.held, h)
	}
}

// TestAgainstModel applies late, repeated and reordered updates. With room for
// all records the index equals the model; without it knows no more.
func TestAgainstModel(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		maxRecords := rapid.SampledFrom([]int{6, 1000}).Draw(t, "max_records")
		x := indexer.New(indexer.Config{MaxRecords: maxRecords})
		chain := []hasher.Hash{11, 12, 13, 14, 15}
		hashes := rapid.SliceOfN(rapid.SampledFrom(chain), 0, 5)
		model := map[string]*belief{}
		for range rapid.IntRange(1, 40).Draw(t, "updates") {
			u := indexer.Update{
				Kind:           rapid.SampledFrom([]indexer.UpdateKind{indexer.Change, indexer.Change, indexer.Full}).Draw(t, "kind"),
				Upstream:       rapid.SampledFrom([]string{"u", "v", "w"}).Draw(t, "upstream"),
				Incarnation:    rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
				Seq:            rapid.Uint64Range(1, 12).Draw(t, "seq"),
				Model:          "m",
				WeightsVersion: rapid.SampledFrom([]string{"1", "1", "1", "2"}).Draw(t, "weights"),
				Stored:         hashes.Draw(t, "stored"),
				Evicted:        hashes.Draw(t, "evicted"),
			}
			if model[u.Upstream] == nil {
				model[u.Upstream] = &belief{incarnation: u.Incarnation, weights: u.WeightsVersion, held: map[hasher.Hash]bool{}}
			}
			model[u.Upstream].apply(u)
			x.Apply(benchNow, u)
			got := map[string]int{}
			for _, h := range x.Lookup(benchNow, chain, nil) {
				got[h.Upstream] = h.HeldBlocks / hasher.CheckpointBlocks
			}
			for name, b := range model {
				want := 0
				for want < len(chain) && b.held[chain[want]] {
					want++
				}
				if got[name] > want || maxRecords > 100 && got[name] != want {
					t.Fatalf("%s holds %d, index says %d", name, want, got[name])
				}
			}
			if x.Stats().Records > maxRecords {
				t.Fatalf("%d records of %d", x.Stats().Records, maxRecords)
			}
		}
	})
}

// TestHoldingsTakeTurns looks up a prefix that more upstreams hold than are told.
func TestHoldingsTakeTurns(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	x := indexer.New(indexer.Config{MaxHoldings: 4})
	for i := range 20 {
		stored := []hasher.Hash{1, 2}[:1+i%2]
		is.True(x.Apply(benchNow, indexer.Update{Kind: indexer.Change, Upstream: fmt.Sprint(i), Incarnation: 1, Seq: 1, Model: "m", WeightsVersion: "1", Stored: stored}))
	}
	told := map[string]bool{}
	for range 40 {
		holdings := x.Lookup(benchNow, []hasher.Hash{1, 2}, nil)
		is.Equal(len(holdings), 4) // bounded
		for _, h := range holdings {
			is.Equal(h.HeldBlocks, 2*hasher.CheckpointBlocks) // the longest first
			told[h.Upstream] = true
		}
	}
	is.Equal(len(told), 10) // every one of the longest
}

// TestRemovedUpstream reuses what an upstream left behind.
func TestRemovedUpstream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	x := indexer.New(indexer.Config{})
	u := indexer.Update{Kind: indexer.Change, Upstream: "u", Incarnation: 7, Seq: 9, Model: "m", WeightsVersion: "1", Stored: []hasher.Hash{1}}
	is.True(x.Apply(benchNow, u))
	x.Remove("u")
	is.Equal(len(x.Lookup(benchNow, u.Stored, nil)), 0)
	u.Upstream, u.Incarnation, u.Seq, u.Stored = "v", 1, 1, []hasher.Hash{2}
	is.True(x.Apply(benchNow, u))
	is.Equal(len(x.Lookup(benchNow, []hasher.Hash{1}, nil)), 0)
	is.True(!x.Confirm("v", "m", 0, []hasher.Hash{1})) // older incarnation
	is.True(x.Confirm("v", "m", 1, []hasher.Hash{1}))
	x.Age(benchNow)
	is.Equal(x.Lookup(benchNow.Add(time.Second), []hasher.Hash{1}, nil)[0].UnsureBlocks, hasher.CheckpointBlocks)
}
