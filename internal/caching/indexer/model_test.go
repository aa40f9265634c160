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

// upstreamModel is a reference model of the index for one upstream.
type upstreamModel struct {
	incarnation, seq uint64
	weights          string
	held             map[hasher.Hash]bool
}

func (m *upstreamModel) apply(u indexer.Update) {
	if u.Incarnation < m.incarnation {
		return
	}
	if u.Incarnation > m.incarnation {
		*m = upstreamModel{incarnation: u.Incarnation, weights: m.weights, held: map[hasher.Hash]bool{}}
	}
	if u.Seq < m.seq || u.Kind == indexer.Change && u.Seq == m.seq {
		return
	}
	if u.Kind == indexer.Full || m.weights != u.WeightsVersion {
		clear(m.held)
	}
	m.seq, m.weights = u.Seq, u.WeightsVersion
	for _, h := range u.Stored {
		m.held[h] = true
	}
	for _, h := range u.Evicted {
		delete(m.held, h)
	}
}

// TestAgainstModel compares the index with a reference model under late, repeated and
// reordered updates. If the record limit is not reached, both return the same
// prefixes; otherwise the index never returns a longer one.
func TestAgainstModel(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		maxRecords := rapid.SampledFrom([]int{6, 1000}).Draw(t, "max_records")
		x := indexer.New(indexer.Config{MaxRecords: maxRecords})
		chain := []hasher.Hash{11, 12, 13, 14, 15}
		hashes := rapid.SliceOfN(rapid.SampledFrom(chain), 0, 5)
		models := map[string]*upstreamModel{}
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
			if models[u.Upstream] == nil {
				models[u.Upstream] = &upstreamModel{incarnation: u.Incarnation, weights: u.WeightsVersion, held: map[hasher.Hash]bool{}}
			}
			models[u.Upstream].apply(u)
			x.Apply(benchNow, u)
			got := map[string]int{}
			for _, h := range x.Lookup(benchNow, chain, nil) {
				got[h.Upstream] = h.HeldBlocks / hasher.CheckpointBlocks
			}
			for name, m := range models {
				want := 0
				for want < len(chain) && m.held[chain[want]] {
					want++
				}
				if got[name] > want || maxRecords > 100 && got[name] != want {
					t.Fatalf("upstream %s holds %d leading checkpoints, lookup returned %d", name, want, got[name])
				}
			}
			if x.Stats().Records > maxRecords {
				t.Fatalf("index has %d records, limit %d", x.Stats().Records, maxRecords)
			}
		}
	})
}

// TestLookupRotatesEqualHoldings looks up a prefix that more upstreams hold than a
// lookup returns. Repeated lookups must return each upstream with the longest
// prefix.
func TestLookupRotatesEqualHoldings(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	x := indexer.New(indexer.Config{MaxHoldings: 4})
	for i := range 20 {
		stored := []hasher.Hash{1, 2}[:1+i%2]
		is.True(x.Apply(benchNow, indexer.Update{Kind: indexer.Change, Upstream: fmt.Sprint(i), Incarnation: 1, Seq: 1, Model: "m", WeightsVersion: "1", Stored: stored}))
	}
	returned := map[string]bool{}
	for range 40 {
		holdings := x.Lookup(benchNow, []hasher.Hash{1, 2}, nil)
		is.Equal(len(holdings), 4) // at most MaxHoldings
		for _, h := range holdings {
			is.Equal(h.HeldBlocks, 2*hasher.CheckpointBlocks) // the longest prefixes come first
			returned[h.Upstream] = true
		}
	}
	is.Equal(len(returned), 10) // all upstreams with the longest prefix
}

// TestRemovedUpstream checks that a new upstream that reuses the slot of a removed one
// does not inherit its records, incarnation or sequence number.
func TestRemovedUpstream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	x := indexer.New(indexer.Config{})
	u := indexer.Update{Kind: indexer.Change, Upstream: "u", Incarnation: 7, Seq: 9, Model: "m", WeightsVersion: "1", Stored: []hasher.Hash{1}}
	is.True(x.Apply(benchNow, u))
	x.RemoveUpstream("u")
	is.Equal(len(x.Lookup(benchNow, u.Stored, nil)), 0)
	u.Upstream, u.Incarnation, u.Seq, u.Stored = "v", 1, 1, []hasher.Hash{2}
	is.True(x.Apply(benchNow, u))
	is.Equal(len(x.Lookup(benchNow, []hasher.Hash{1}, nil)), 0)
	is.True(!x.Confirm("v", "m", 0, []hasher.Hash{1})) // an older incarnation is ignored
	is.True(x.Confirm("v", "m", 1, []hasher.Hash{1}))
	x.DemoteAll(benchNow)
	is.Equal(x.Lookup(benchNow.Add(time.Second), []hasher.Hash{1}, nil)[0].UnsureBlocks, hasher.CheckpointBlocks)
}
