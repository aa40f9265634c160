package soaker_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/standin/soaker"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// recordRow is a record and the promises that it shows to be broken.
type recordRow struct {
	Name   string           `json:"name"`
	Record soaker.Record    `json:"record"`
	Want   []soaker.Promise `json:"want"`
}

// addSuccesses adds calls after the last step that succeed.
func addSuccesses(r *soaker.Record, n int) {
	at := r.EndAt.Add(time.Minute)
	for i := range n {
		id := fmt.Sprint("success-", i)
		r.Calls = append(r.Calls, soaker.Call{ID: id, BeganAt: at, SentAt: at, EndedAt: at, Outcome: soaker.Answered, Upstream: "e1"})
		r.Arrivals = append(r.Arrivals, soaker.Arrival{ID: id, Service: "quiet", At: at})
		r.Runs = append(r.Runs, soaker.Run{ID: id, Upstream: "e1"})
	}
}

func TestCheckFindsBrokenPromises(t *testing.T) {
	t.Parallel()
	var rows []recordRow
	scripter.Read(t, "testdata/records.json", &rows)
	bounds := soaker.Bounds{
		ConfigurationApply: 2 * time.Second, RetryRatio: 0.5, RetryExtra: 1, RetryWindow: 10 * time.Second,
		Stable: time.Second, Recover: 4 * time.Second, Drain: 2 * time.Second,
		Quotas: map[string]soaker.Quota{
			"usual": {PerSecond: 10, Burst: 10, Window: 8 * time.Second, Usual: true},
			"flood": {PerSecond: 10, Burst: 10, Over: 0.1, Slack: 1, Window: 8 * time.Second}, // 100 in 8 s
		},
	}
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			addSuccesses(&row.Record, 20)
			var got []soaker.Promise
			for _, v := range soaker.Check(row.Record, bounds) {
				got = append(got, v.Promise)
			}
			slices.Sort(got)
			is.Equal(slices.Compact(got), row.Want)
		})
	}
}

// TestPlanOfSeed checks that a seed always has the same plan, within its length.
func TestPlanOfSeed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const seeds = 100
	targets := soaker.Targets{
		Gateways: []string{"vm1", "vm2"}, Upstreams: []string{"e1"}, Links: []string{"e1", "vm1/front", "vm1/store"},
		StoreFaults: []string{"slow"}, UpstreamFaults: []string{"shed"}, Keys: []string{"k1", "k2"}, Limits: true, Breaks: true, Floods: true,
	}
	kinds := make(map[soaker.Kind]int)
	for seed := range uint64(seeds) {
		plan := soaker.NewPlan(seed, 20*time.Second, targets)
		is.Equal(plan, soaker.NewPlan(seed, 20*time.Second, targets))
		for _, s := range plan {
			is.True(s.Begin <= s.End && s.End <= 20*time.Second)
			kinds[s.Kind]++
		}
	}
	is.Equal(len(kinds), 15) // each kind occurs
}
