package replicator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/routing/replicator"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// requestsPerSecond is the request rate over all prefixes.
const requestsPerSecond = 10

// phase is a period during which one prefix receives a constant share of the
// requests, with the number of replicas expected at its end.
type phase struct {
	Seconds  int     `json:"seconds"`
	Share    float64 `json:"share"`
	Replicas int     `json:"replicas"`
	// MaxChanges limits how often the number of replicas changes in the phase.
	MaxChanges int `json:"max_changes"`
}

// TestReplicasTrackRequestRate checks that the number of replicas follows the share
// of requests for a prefix without oscillating.
func TestReplicasTrackRequestRate(t *testing.T) {
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
			r.SetUpstreamCount(row.Upstreams)
			now, last, due := time.Unix(1000, 0), 1, 0.0
			for _, p := range row.Phases {
				changes := 0
				var affinity replicator.Affinity
				for range p.Seconds * requestsPerSecond {
					now = now.Add(time.Second / requestsPerSecond)
					unique := hasher.Hash(now.UnixNano())
					if due += p.Share; due < 1 {
						r.Observe(now, []hasher.Hash{unique, unique + 1, unique + 2})
						continue
					}
					due--
					affinity = r.Observe(now, []hasher.Hash{1, 2, unique})
					if affinity.Replicas != last {
						changes++
					}
					last = affinity.Replicas
				}
				is.Equal(affinity.Replicas, p.Replicas)                    // number of replicas at the end of the phase
				is.True(changes <= p.MaxChanges)                           // the number of replicas does not oscillate
				is.Equal(affinity.SharedBlocks, 2*hasher.CheckpointBlocks) // the last checkpoint is unique to each request
			}
		})
	}
}

// TestPrefixesAreEvicted checks that at most MaxPrefixes prefixes are tracked.
func TestPrefixesAreEvicted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r, err := replicator.New(replicator.Config{MaxPrefixes: 2})
	is.NoErr(err)
	now := time.Unix(1000, 0)
	r.Observe(now, []hasher.Hash{1})
	r.Observe(now, []hasher.Hash{2, 3})
	is.Equal(r.Observe(now, []hasher.Hash{1}).SharedBlocks, 0) // evicted by the two later prefixes
	is.Equal(r.Observe(now, []hasher.Hash{1}).SharedBlocks, hasher.CheckpointBlocks)
}
