package evictor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/routing/evictor"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// crowdRow is a crowd of requests that hold memory when more is needed.
type crowdRow struct {
	// Name names the load pattern.
	Name     string `json:"name"`
	NeededKB int64  `json:"needed_kb"`
	Groups   []struct {
		Name  string `json:"name"`
		Count int    `json:"count"`
		KB    int64  `json:"kb"`
		// ReceivedBytes arrive each EveryMS, from StartedMS until StoppedMS before the decision.
		ReceivedBytes int  `json:"received_bytes"`
		EveryMS       int  `json:"every_ms"`
		StartedMS     int  `json:"started_ms"`
		StoppedMS     int  `json:"stopped_ms"`
		Complete      bool `json:"complete"`
	} `json:"groups"`
	// Evicted is the number of evictions by group and reason.
	Evicted map[string]int `json:"evicted"`
}

// TestCrowds guards against the eviction of requests that make progress or that an upstream
// may have run, and against stalled ones that keep their memory.
func TestCrowds(t *testing.T) {
	t.Parallel()
	var rows []crowdRow
	scripter.Read(t, "testdata/crowds.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			requests, groups := row.requests()
			evicted, freed := map[string]int{}, int64(0)
			for _, e := range evictor.Choose(time.Unix(100, 0), row.NeededKB<<10, requests) {
				evicted[fmt.Sprint(groups[e.Index], " ", e.Reason)]++
				freed += requests[e.Index].Bytes
			}
			is.Equal(evicted, row.Evicted)
			is.True(freed == 0 || freed >= row.NeededKB<<10)
		})
	}
}

// requests returns the requests at second 100, and the name of the group of each.
func (row crowdRow) requests() (requests []evictor.Request, groups []string) {
	now := time.Unix(100, 0)
	before := func(ms int) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	for _, g := range row.Groups {
		p := evictor.NewProgress(before(g.StartedMS))
		for at := g.StartedMS; g.EveryMS > 0 && at >= g.StoppedMS; at -= g.EveryMS {
			p.Record(before(at), g.ReceivedBytes)
		}
		for range g.Count {
			requests = append(requests, evictor.Request{Bytes: g.KB << 10, Progress: p, Complete: g.Complete})
			groups = append(groups, g.Name)
		}
	}
	return requests, groups
}
