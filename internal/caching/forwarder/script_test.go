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

// prompt names a chain of a script.
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

// step is one line of a script: exactly one of its fields is set.
type step struct {
	Push *struct {
		Seq         uint64       `json:"seq"`
		Incarnation uint64       `json:"incarnation"`
		Kind        indexer.Kind `json:"kind"`
		prompt
	} `json:"push"`
	WaitMS  int      `json:"wait_ms"`
	Members []string `json:"members"`
	// Again delivers all updates so far once more, the newest first.
	Again  bool `json:"again"`
	Lookup *struct {
		prompt
		Held   int `json:"held"`
		Unsure int `json:"unsure"`
	} `json:"lookup"`
}

// owners is a set of index owners and one reader of an upstream.
type owners struct {
	now       time.Time
	shares    *partitioner.Partitioner
	indexes   map[string]*indexer.Index
	reader    *forwarder.Forwarder
	delivered []forwarder.Delivery
}

func newOwners(members []string) *owners {
	o := &owners{now: time.Unix(1000, 0), indexes: map[string]*indexer.Index{}}
	o.join(members)
	o.reader = forwarder.New(forwarder.Config{Upstream: "u", Owners: o.shares})
	return o
}

func (o *owners) join(members []string) {
	o.shares = partitioner.New(members)
	for _, m := range members {
		if o.indexes[m] == nil {
			o.indexes[m] = indexer.New(indexer.Config{})
		}
	}
	if o.reader != nil {
		o.reader.SetOwners(o.shares)
	}
}

func (o *owners) flush() {
	due := o.reader.Flush(o.now)
	for _, d := range due {
		o.indexes[d.Owner].Apply(o.now, d.Update)
	}
	o.delivered = append(o.delivered, due...)
}

func (o *owners) run(is *is.I, s step) {
	switch {
	case s.Push != nil:
		e := indexer.Event{Seq: s.Push.Seq, Incarnation: s.Push.Incarnation, Kind: s.Push.Kind, Model: "m", WeightsVersion: s.Push.Version}
		if s.Push.Kind != indexer.Cleared {
			e.Blocks = indexer.BlocksOf(s.Push.chain(), s.Push.First)
		}
		is.NoErr(e.Check())
		o.reader.Push(o.now, e)
	case s.WaitMS > 0:
		o.now = o.now.Add(time.Duration(s.WaitMS) * time.Millisecond)
	case s.Members != nil:
		o.join(s.Members)
	case s.Again:
		for _, d := range slices.Backward(o.delivered) {
			o.indexes[d.Owner].Apply(o.now, d.Update)
		}
	}
	o.flush()
	if s.Lookup == nil {
		return
	}
	chain := s.Lookup.chain()
	family, _ := hasher.Family(chain)
	var held indexer.Holding
	for _, h := range o.indexes[o.shares.Owner(family)].Lookup(o.now, hasher.Checkpoints(chain), nil) {
		held = h
	}
	is.Equal(held.HeldBlocks, s.Lookup.Held)     // held for sure
	is.Equal(held.UnsureBlocks, s.Lookup.Unsure) // held before a gap
}

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
			o := newOwners([]string{"a", "b", "c"})
			for i, s := range row.Steps {
				is := is.New(t)
				t.Logf("step %d", i)
				o.run(is, s)
			}
		})
	}
}
