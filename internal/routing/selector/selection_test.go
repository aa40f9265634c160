package selector_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/routing/selector"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// candidate is the JSON form of a candidate; times are in milliseconds.
type candidate struct {
	Name             string  `json:"name"`
	Region           string  `json:"region"`
	AvailabilityZone string  `json:"zone"`
	Running          float64 `json:"running"`
	QueuedBlocks     float64 `json:"queued_blocks"`
	Held             int     `json:"held"`
	Unsure           int     `json:"unsure"`
	Importable       int     `json:"importable"`
	ImportMS         int     `json:"import_ms"`
	Suspect          bool    `json:"suspect"`
}

// selection is a row of testdata/selection.json: a request, its candidates and the
// expected decision.
type selection struct {
	Name           string      `json:"name"`
	Policy         string      `json:"policy"`
	MaxEjected     float64     `json:"max_ejected"`
	RecomputePrice float64     `json:"recompute_price"`
	Blocks         int         `json:"blocks"`
	Shared         int         `json:"shared"`
	Replicas       int         `json:"replicas"`
	Candidates     []candidate `json:"candidates"`
	// Chosen lists the upstreams that may be chosen.
	Chosen   []string `json:"chosen"`
	Reason   string   `json:"reason"`
	Missing  int      `json:"missing"`
	Suspects int      `json:"suspects"`
}

func newPolicy(name string, recomputePrice, maxEjected float64, seed uint64) (selector.Policy, error) {
	return selector.New(selector.Config{
		Selection: checker.SelectionPolicy{
			Name: name, RecomputePrice: recomputePrice,
			CrossingPrice: checker.Duration(time.Second), CrossingLatency: checker.Duration(30 * time.Millisecond),
		},
		MaxEjected: maxEjected,
		Random:     rand.New(rand.NewPCG(seed, 1)),
	})
}

func newRequest(seed uint64, blocks int) selector.Request {
	random := rand.New(rand.NewPCG(seed, 2))
	r := selector.Request{Region: "a", AvailabilityZone: "a1", PromptBytes: blocks * hasher.BlockBytes}
	for range blocks {
		r.Chain = append(r.Chain, hasher.Hash(random.Uint64()))
	}
	return r
}

func TestSelection(t *testing.T) {
	t.Parallel()
	var rows []selection
	scripter.Read(t, "testdata/selection.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p, err := newPolicy(row.Policy, row.RecomputePrice, row.MaxEjected, 1)
			is.NoErr(err)
			is.Equal(p.Name(), row.Policy)
			r := newRequest(1, row.Blocks)
			r.SharedBlocks, r.Replicas = row.Shared, row.Replicas
			candidates := make([]selector.Candidate, 0, len(row.Candidates))
			for _, c := range row.Candidates {
				candidates = append(candidates, selector.Candidate{
					Name: c.Name, Region: c.Region, AvailabilityZone: c.AvailabilityZone, Slots: 4, Running: c.Running, QueuedBlocks: c.QueuedBlocks,
					HeldBlocks: c.Held, UnsureBlocks: c.Unsure, ImportableBlocks: c.Importable, Suspect: c.Suspect,
					ImportPerBlock: time.Duration(c.ImportMS) * time.Millisecond, PrefillPerBlock: 2 * time.Millisecond, ServiceTime: time.Second,
				})
			}
			d := p.Select(time.Time{}, r, candidates)
			t.Logf("%+v", d)
			is.True(slices.Contains(row.Chosen, d.Chosen)) // one of the allowed upstreams is chosen
			is.Equal(d.Reason, row.Reason)
			is.Equal(d.MissingBlocks, row.Missing)
			is.Equal(d.Suspects, row.Suspects)
		})
	}
}

func TestNewRejectsInvalidConfig(t *testing.T) {
	t.Parallel()
	_, err := newPolicy("cheapest", 1, 1, 1)
	is.New(t).True(err != nil)
	_, err = selector.New(selector.Config{Selection: checker.SelectionPolicy{Name: "prefix_cost"}})
	is.New(t).True(err != nil) // a policy without a random source is rejected
}

// TestNoThunderingHerd guards against a thundering herd: nine routers select from
// the same stale load report, in which one upstream is idle and the others are
// equally busy, and must not all choose the idle one.
func TestNoThunderingHerd(t *testing.T) {
	t.Parallel()
	for _, blocks := range []int{0, 40} {
		t.Run(fmt.Sprint(blocks), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			sent := map[string]int{}
			const routers, requests, upstreams = 9, 20, 20
			for router := range routers {
				p, err := newPolicy("prefix_cost", 1, 1, uint64(router))
				is.NoErr(err)
				for n := range requests {
					r := newRequest(uint64(router*requests+n), blocks)
					candidates := make([]selector.Candidate, upstreams)
					for i := range candidates {
						candidates[i] = selector.Candidate{Name: fmt.Sprintf("u%02d", i), Region: "a", AvailabilityZone: "a1", Slots: 8, Running: 2}
					}
					candidates[7].Running = 0
					d := p.Select(time.Time{}, r, candidates)
					sent[d.Chosen]++
				}
			}
			most := 0
			for _, n := range sent {
				most = max(most, n)
			}
			t.Logf("upstreams %d, most %d of %d", len(sent), most, routers*requests)
			is.Equal(len(sent), upstreams)                       // every upstream receives requests
			is.True(most <= 3*routers*requests/upstreams)        // no upstream receives more than three times its fair share
			is.True(sent["u07"] <= 3*routers*requests/upstreams) // nor does the idle upstream
		})
	}
}

// TestDecisionInvariants checks, for every policy, that a candidate is chosen if
// there is one, that it is not suspect while another is healthy, and that the
// decision describes it consistently.
func TestDecisionInvariants(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom(checker.SelectionNames).Draw(t, "policy")
		p, err := newPolicy(name, rapid.Float64Range(0, 4).Draw(t, "price"), 1, 1)
		if err != nil {
			t.Fatal(err)
		}
		r := newRequest(1, rapid.IntRange(0, 30).Draw(t, "blocks"))
		r.SharedBlocks = rapid.IntRange(0, 40).Draw(t, "shared")
		r.Replicas = rapid.IntRange(0, 4).Draw(t, "replicas")
		candidates := make([]selector.Candidate, rapid.IntRange(0, 12).Draw(t, "candidates"))
		healthy := 0
		for i := range candidates {
			candidates[i] = selector.Candidate{
				Name: fmt.Sprint(i), Region: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "region"), Slots: rapid.IntRange(0, 3).Draw(t, "slots"),
				Running: rapid.Float64Range(0, 5).Draw(t, "running"), HeldBlocks: rapid.IntRange(0, 40).Draw(t, "held"), Suspect: rapid.Bool().Draw(t, "suspect"),
			}
			if !candidates[i].Suspect {
				healthy++
			}
		}
		checkDecision(t, name, &r, candidates, healthy, p.Select(time.Time{}, r, candidates))
	})
}

// checkDecision fails t if d breaks an invariant of decisions.
func checkDecision(t *rapid.T, name string, r *selector.Request, candidates []selector.Candidate, healthy int, d selector.Decision) {
	if len(candidates) == 0 {
		if d.Chosen != "" || d.Reason != selector.ReasonNoCandidate {
			t.Fatalf("chose %q from an empty list of candidates", d.Chosen)
		}
		return
	}
	i := slices.IndexFunc(candidates, func(c selector.Candidate) bool { return c.Name == d.Chosen })
	if i < 0 || candidates[i].Suspect && healthy > 0 {
		t.Fatalf("chose %q, which is unknown or suspect", d.Chosen)
	}
	if d.Policy != name || d.Reason == "" || d.MissingBlocks != max(len(r.Chain)-candidates[i].HeldBlocks, 0) || len(d.Costs) > selector.MaxCosts {
		t.Fatalf("inconsistent policy, reason, missing blocks or costs in decision %+v", d)
	}
	if name != "round_robin" && !slices.ContainsFunc(d.Costs, func(c selector.Cost) bool { return c.Name == d.Chosen }) {
		t.Fatalf("no cost listed for the chosen upstream %q", d.Chosen)
	}
	for _, c := range d.Costs {
		if c.Total != c.Wait+c.Prefill+c.Distance+c.Recompute+c.Crossing {
			t.Fatalf("total is not the sum of the components in cost %+v", c)
		}
	}
}
