package forwarder_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/caching/forwarder"
	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/caching/partitioner"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// prompt describes a chain of block hashes in a script.
type prompt struct {
	Organisation string `json:"organisation"`
	Version      string `json:"version"`
	First        int    `json:"first"`
	Blocks       int    `json:"blocks"`
}

func (p prompt) chain() []hasher.Hash {
	scope := hasher.Scope{Organisation: p.Organisation, Model: "m", WeightsVersion: p.Version}
	return hasher.Chain(scope, strings.Repeat("catalogue ", 26*p.Blocks))[:p.Blocks]
}

// step is one step of a script. Exactly one of its fields is set.
type step struct {
	Push *struct {
		Seq         uint64            `json:"seq"`
		Incarnation uint64            `json:"incarnation"`
		Kind        indexer.EventKind `json:"kind"`
		prompt
	} `json:"push"`
	WaitMS  int      `json:"wait_ms"`
	Members []string `json:"members"`
	// Redeliver applies all delivered updates again, the newest first.
	Redeliver bool `json:"again"`
	Lookup    *struct {
		prompt
		Held   int `json:"held"`
		Unsure int `json:"unsure"`
	} `json:"lookup"`
}

// cluster holds the index of each owner and the forwarder of one upstream.
type cluster struct {
	now         time.Time
	partitioner *partitioner.Partitioner
	indexes     map[string]*indexer.Index
	forwarder   *forwarder.Forwarder
	delivered   []forwarder.Delivery
}

func newCluster(members []string) *cluster {
	c := &cluster{now: time.Unix(1000, 0), indexes: map[string]*indexer.Index{}}
	c.setMembers(members)
	c.forwarder = forwarder.New(forwarder.Config{Upstream: "u", Owners: c.partitioner})
	return c
}

func (c *cluster) setMembers(members []string) {
	c.partitioner = partitioner.New(members)
	for _, m := range members {
		if c.indexes[m] == nil {
			c.indexes[m] = indexer.New(indexer.Config{})
		}
	}
	if c.forwarder != nil {
		c.forwarder.SetOwners(c.partitioner)
	}
}

func (c *cluster) flush() {
	deliveries := c.forwarder.Flush(c.now)
	for _, d := range deliveries {
		c.indexes[d.Owner].Apply(c.now, d.Update)
	}
	c.delivered = append(c.delivered, deliveries...)
}

func (c *cluster) run(is *is.I, s step) {
	switch {
	case s.Push != nil:
		e := indexer.Event{Seq: s.Push.Seq, Incarnation: s.Push.Incarnation, Kind: s.Push.Kind, Model: "m", WeightsVersion: s.Push.Version}
		if s.Push.Kind != indexer.Cleared {
			e.Blocks = indexer.BlocksOf(s.Push.chain(), s.Push.First)
		}
		is.NoErr(e.Check())
		c.forwarder.Push(c.now, e)
	case s.WaitMS > 0:
		c.now = c.now.Add(time.Duration(s.WaitMS) * time.Millisecond)
	case s.Members != nil:
		c.setMembers(s.Members)
	case s.Redeliver:
		for _, d := range slices.Backward(c.delivered) {
			c.indexes[d.Owner].Apply(c.now, d.Update)
		}
	}
	c.flush()
	if s.Lookup == nil {
		return
	}
	chain := s.Lookup.chain()
	family, _ := hasher.Family(chain)
	var held indexer.Holding
	for _, h := range c.indexes[c.partitioner.Owner(family)].Lookup(c.now, hasher.Checkpoints(chain), nil) {
		held = h
	}
	is.Equal(held.HeldBlocks, s.Lookup.Held)     // blocks confirmed since the last gap
	is.Equal(held.UnsureBlocks, s.Lookup.Unsure) // blocks held before a gap and not confirmed since
}

// TestFaults runs scripts of lost, late, repeated and reordered events, restarts and
// membership changes, and checks the results of the lookups in them.
func TestFaults(t *testing.T) {
	t.Parallel()
	var rows []struct {
		Name  string `json:"name"`
		Steps []step `json:"steps"`
	}
	scripter.Read(t, "testdata/faults.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			c := newCluster([]string{"a", "b", "c"})
			for i, s := range row.Steps {
				is := is.New(t)
				t.Logf("step %d", i)
				c.run(is, s)
			}
		})
	}
}
