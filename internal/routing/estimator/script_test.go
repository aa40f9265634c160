package estimator_test

import (
	"encoding/json"
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/routing/estimator"
	"gentianstep.example/gentianstep/internal/routing/selector"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// step is one event of a script or an expectation. Exactly one of the fields is
// set besides AtMS and Computed.
type step struct {
	AtMS   int `json:"at_ms"`
	Report *struct {
		Upstream    string `json:"upstream"`
		Incarnation uint64 `json:"incarnation"`
		Running     int    `json:"running"`
		Blocks      int    `json:"blocks"`
		// ReportedAtMS is the time at which the upstream made the report.
		ReportedAtMS int  `json:"made_ms"`
		Dropped      bool `json:"dropped"`
	} `json:"report"`
	Send *struct {
		Upstream string `json:"upstream"`
		Blocks   int    `json:"blocks"`
	} `json:"send"`
	// FirstToken and Done are numbers of sends, counted from 1. Computed is the
	// number of blocks computed until the first token.
	FirstToken int      `json:"first_token"`
	Computed   int      `json:"computed"`
	Done       int      `json:"done"`
	Suspect    string   `json:"suspect"`
	Upstreams  []string `json:"upstreams"`
	Expect     *struct {
		Upstream          string  `json:"upstream"`
		Requests          float64 `json:"requests"`
		Blocks            float64 `json:"blocks"`
		PrefillPerBlockMS float64 `json:"per_block_ms"`
		Suspect           bool    `json:"suspect"`
	} `json:"expect"`
}

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func upstreams(names ...string) []estimator.Upstream {
	list := make([]estimator.Upstream, 0, len(names))
	for _, name := range names {
		list = append(list, estimator.Upstream{Name: name, Region: "a", Slots: 4})
	}
	return list
}

func runStep(is *is.I, e *estimator.Estimator, s step) {
	now := at(s.AtMS)
	switch {
	case s.Report != nil:
		r := estimator.Report{Upstream: s.Report.Upstream, Incarnation: s.Report.Incarnation, Running: s.Report.Running, QueuedBlocks: s.Report.Blocks, ReportedAt: at(s.Report.ReportedAtMS)}
		is.Equal(e.ApplyReport(r), !s.Report.Dropped) // accepted
	case s.Send != nil:
		e.RecordSent(now, estimator.SentRequest{Upstream: s.Send.Upstream, Blocks: s.Send.Blocks})
	case s.FirstToken > 0:
		e.RecordFirstToken(now, estimator.Ticket(s.FirstToken), s.Computed)
	case s.Done > 0:
		e.EndRequest(now, estimator.Ticket(s.Done))
	case s.Suspect != "":
		e.SuspectUntil(s.Suspect, now.Add(time.Second))
	case s.Upstreams != nil:
		e.SetUpstreams(upstreams(s.Upstreams...))
	case s.Expect != nil:
		accept := func(name string) bool { return name == s.Expect.Upstream }
		candidates := e.Candidates(now, nil, accept)
		is.Equal(len(candidates), 1) // the upstream is a candidate
		c := candidates[0]
		is.True(math.Abs(c.Queued+c.Running-s.Expect.Requests) < 0.01)  // estimated requests
		is.True(math.Abs(c.QueuedBlocks-s.Expect.Blocks) < 0.01)        // estimated queued blocks
		is.Equal(c.Suspect, s.Expect.Suspect)                           // marked as suspect
		is.True(c.Running <= 4 && c.Queued >= 0 && c.QueuedBlocks >= 0) // within the slots and not negative
		if s.Expect.PrefillPerBlockMS > 0 {
			is.Equal(c.PrefillPerBlock, time.Duration(s.Expect.PrefillPerBlockMS*float64(time.Millisecond)))
		}
	}
}

func TestScripts(t *testing.T) {
	t.Parallel()
	var rows []struct {
		Name  string `json:"name"`
		Steps []step `json:"steps"`
	}
	scripter.Read(t, "testdata/scripts.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			e := estimator.New(estimator.Config{PeerFactor: 3})
			e.SetUpstreams(upstreams("u", "v"))
			for i, s := range row.Steps {
				t.Logf("step %d", i)
				runStep(is.New(t), e, s)
			}
		})
	}
}

func TestHoldIgnoresOldIncarnation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	e := estimator.New(estimator.Config{})
	e.SetUpstreams(upstreams("u", "v"))
	is.True(e.ApplyReport(estimator.Report{Upstream: "u", Incarnation: 2, ReportedAt: start}))
	candidates := e.Candidates(start, nil, nil)
	e.AddHoldings(candidates, []indexer.Holding{
		{Upstream: "u", Incarnation: 1, HeldBlocks: 8},
		{Upstream: "v", Incarnation: 1, HeldBlocks: 4, UnsureBlocks: 4},
		{Upstream: "gone", Incarnation: 1, HeldBlocks: 8},
	})
	e.AddHoldings(candidates, []indexer.Holding{{Upstream: "v", Incarnation: 1, HeldBlocks: 6}})
	is.Equal(candidates[0].HeldBlocks, 0) // reported by an older incarnation
	is.Equal([]int{candidates[1].HeldBlocks, candidates[1].UnsureBlocks}, []int{6, 2})
}

func TestUnmarshalValidatesReport(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	valid, err := cbor.Marshal(estimator.Report{Upstream: "u", Incarnation: 1, ReportedAt: start})
	is.NoErr(err)
	var r estimator.Report
	is.NoErr(cbor.Unmarshal(valid, &r))
	invalid, err := cbor.Marshal(estimator.Report{Upstream: "u", Incarnation: 1, Running: -1, ReportedAt: start})
	is.NoErr(err)
	is.True(cbor.Unmarshal(invalid, &r) != nil)
	is.True(json.Unmarshal([]byte(`{"upstream":"u","incarnation":0}`), &r) != nil)
}

func BenchmarkCandidates(b *testing.B) {
	for _, n := range []int{12, 100, 740} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			e := estimator.New(estimator.Config{})
			names := make([]string, n)
			for i := range names {
				names[i] = strconv.Itoa(i)
			}
			e.SetUpstreams(upstreams(names...))
			for i, name := range names {
				e.ApplyReport(estimator.Report{Upstream: name, Incarnation: 1, Running: i % 5, ReportedAt: at(i)})
			}
			var buf []selector.Candidate
			b.ReportAllocs()
			for b.Loop() {
				buf = e.Candidates(at(1000), buf, nil)
			}
		})
	}
}
