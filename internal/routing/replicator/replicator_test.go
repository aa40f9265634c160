package replicator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/routing/replicator"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// perSecond is the number of requests per second for all prefixes.
const perSecond = 10

// phase is a time in which one prefix has a steady share of the requests.
type phase struct {
	Seconds  int     `json:"seconds"`
	Share    float64 `json:"share"`
	Replicas int     `json:"replicas"`
	// MaxChanges bounds the changes of the number of replicas in the phase.
	MaxChanges int `json:"max_changes"`
}

func TestReplicasFollowTheRate(t *testing.T) {
	t.Parallel()
	var rows []struct {
		Name      string  `json:"name"`
		Upstreams int     `json:"upstreams"`
		Phases    []phase `json:"phases"`
	}
	scripter.Read(t, "testdata/rates.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r, err := replicator.New(replicator.Config{})
			is.NoErr(err)
			r.SetUpstreams(row.Upstreams)
			now, last, due := time.Unix(1000, 0), 1, 0.0
			for _, p := range row.Phases {
				changes := 0
				var heat replicator.Heat
				for range p.Seconds * perSecond {
					now = now.Add(time.Second / perSecond)
					other := hasher.Hash(now.UnixNano())
					if due += p.Share; due < 1 {
						r.Observe(now, []hasher.Hash{other, other + 1, other + 2})
						continue
					}
					due--
					heat = r.Observe(now, []hasher.Hash{1, 2, other})
					if heat.Replicas != last {
						changes++
					}
					last = heat.Replicas
				}
				is.Equal(heat.Replicas, p.Replicas)                    // replicas
				is.True(changes <= p.MaxChanges)                       // hysteresis
				is.Equal(heat.SharedBlocks, 2*hasher.CheckpointBlocks) // all but the last checkpoint
			}
		})
	}
}

func TestMemoryIsBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r, err := replicator.New(replicator.Config{MaxPrefixes: 2})
	is.NoErr(err)
	now := time.Unix(1000, 0)
	r.Observe(now, []hasher.Hash{1})
	r.Observe(now, []hasher.Hash{2, 3})
	is.Equal(r.Observe(now, []hasher.Hash{1}).SharedBlocks, 0) // forgotten
	is.Equal(r.Observe(now, []hasher.Hash{1}).SharedBlocks, hasher.CheckpointBlocks)
}
