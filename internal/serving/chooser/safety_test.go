package chooser_test

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/serving/chooser"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
	"gentianstep.example/gentianstep/internal/standin/generator"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/internal/upstream/caller"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

const (
	modelName = "tile-match"
	region    = "jhb-a"
	blocks    = 8
	// requests is the number of prompt families sent in a row.
	requests = 20
)

// answer is an index that says that up-0 holds the whole prompt.
type answer struct{ incarnation uint64 }

// Lookup implements chooser.Index.
func (a *answer) Lookup(_ context.Context, checkpoints []hasher.Hash) ([]indexer.Holding, bool) {
	if a.incarnation == 0 {
		return nil, false
	}
	held := len(checkpoints) * hasher.CheckpointBlocks
	return []indexer.Holding{{Upstream: "up-0", Incarnation: a.incarnation, HeldBlocks: held}}, true
}

// leavers names the upstreams that get no new work.
type leavers []string

// Serves implements chooser.Upstreams.
func (l leavers) Serves(name string) bool { return !slices.Contains(l, name) }

// Refused implements chooser.Upstreams.
func (l leavers) Refused(time.Time, string) {}

func readRows[T any](t *testing.T, path string) []T {
	t.Helper()
	var rows []T
	scripter.Read(t, path, &rows)
	return rows
}

func newBundle(addresses []netip.AddrPort, previous string) *checker.Bundle {
	second := checker.Duration(time.Second)
	b := &checker.Bundle{Version: 1, Models: []checker.Model{{Name: modelName, WeightsVersion: "w2", PreviousWeightsVersion: previous}}}
	for i, address := range addresses {
		b.Upstreams = append(b.Upstreams, checker.Upstream{
			Name: fmt.Sprintf("up-%d", i), Kind: checker.Engine, Address: address, Region: region, Slots: 8,
		})
	}
	b.Policy.Selection = checker.SelectionPolicy{Name: "prefix_cost", RecomputePrice: 1, LookupTimeout: second}
	b.Policy.Attempts = checker.AttemptPolicy{MaxAttempts: 3, RetryBudget: 1, Cooldown: second, MaxEjected: 0.5}
	b.Policy.Streams = checker.StreamPolicy{
		FirstByteTimeout: 10 * second, IdleTimeout: 5 * second, TotalTimeout: 60 * second, MaxResumes: 1,
	}
	return b
}

func newChooser(t *testing.T, b *checker.Bundle, index chooser.Index, out leavers) *chooser.Chooser {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	c, err := chooser.New(chooser.Config{Region: region, Index: index, Upstreams: out, Log: logrus.NewEntry(log)})
	is.New(t).NoErr(err)
	c.Bundle(b)
	return c
}

func newSafetyJob(b *checker.Bundle, id, organisation, prompt string) dispatcher.Job {
	return dispatcher.Job{
		ID:           id,
		Bundle:       b,
		Organisation: checker.Organisation{Name: organisation},
		Model:        b.Models[0],
		Priority:     checker.Interactive,
		Path:         "/v1/completions",
		Request:      encoder.Request{Model: modelName, Prompt: prompt, MaxTokens: 2, Stream: true},
	}
}

func loaded(version string) []observer.LoadedModel {
	return []observer.LoadedModel{{Name: modelName, WeightsVersion: version}}
}

// TestNoBeliefOutlivesItsCache plays reports and decisions on one engine.
func TestNoBeliefOutlivesItsCache(t *testing.T) {
	t.Parallel()
	type step struct {
		// Report is the incarnation of a report, Index that of the index.
		Report, Index uint64
		Organisation  string
		Missing       int
		Send          bool
	}
	for _, row := range readRows[struct {
		Name  string
		Steps []step
	}](t, "testdata/beliefs.json") {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := newBundle([]netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:80")}, "")
			index := &answer{}
			c := newChooser(t, b, index, nil)
			for i, s := range row.Steps {
				now := time.Now()
				if s.Report > 0 {
					c.Reports([]observer.Report{{Upstream: "up-0", Incarnation: s.Report, At: now, Models: loaded("w2")}})
					continue
				}
				index.incarnation = s.Index
				j := newSafetyJob(b, fmt.Sprint(i), s.Organisation, strings.Repeat("x", blocks*hasher.BlockBytes))
				choice, err := c.Choose(t.Context(), j, 1, nil)
				is.NoErr(err)
				is.Equal(choice.MissingBlocks, s.Missing) // what has to be computed
				if s.Send {
					c.Sent(now, choice)
					c.FirstToken(now, choice)
					c.Finished(now, choice)
				}
			}
		})
	}
}

// sink gathers an answer.
type sink struct{ text string }

// Chunk implements dispatcher.Sink.
func (s *sink) Chunk(_ uint64, c encoder.Chunk) error {
	s.text += c.Text()
	return nil
}

// TestWeightsChangeBetweenReportAndSend sends requests of many families to
// engines that have other weights than they reported.
func TestWeightsChangeBetweenReportAndSend(t *testing.T) {
	t.Parallel()
	for _, row := range readRows[struct {
		Name, Previous           string
		Reported, Loaded, Serves []string
		Leaving                  leavers
	}](t, "testdata/versions.json") {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			addresses := make([]netip.AddrPort, 0, len(row.Loaded))
			reports := make([]observer.Report, 0, len(row.Loaded))
			for i, version := range row.Loaded {
				e := generator.New(generator.Config{Name: fmt.Sprintf("up-%d", i), Models: loaded(version), Slots: 8, CacheBlocks: 64, Incarnation: 1})
				server := httptest.NewServer(generator.Handler(e))
				t.Cleanup(server.Close)
				addresses = append(addresses, netip.MustParseAddrPort(server.Listener.Addr().String()))
				reports = append(reports, observer.Report{Upstream: fmt.Sprintf("up-%d", i), Incarnation: 1, At: time.Now(), Models: loaded(row.Reported[i])})
			}
			b := newBundle(addresses, row.Previous)
			c := newChooser(t, b, nil, row.Leaving)
			c.Reports(reports)
			calls := caller.New(caller.Config{})
			t.Cleanup(calls.Close)
			log := logrus.New()
			log.SetOutput(io.Discard)
			d := dispatcher.New(dispatcher.Config{Caller: calls, Chooser: c, Log: logrus.NewEntry(log)})
			var served []string
			for n := range requests {
				prompt := strings.Repeat(fmt.Sprintf("family %04d. ", n), 200)
				s := &sink{}
				err := d.Complete(t.Context(), newSafetyJob(b, fmt.Sprint("r-", n), "a", prompt), s)
				is.Equal(err == nil, len(row.Serves) > 0) // served, or refused by all
				for _, version := range []string{"w1", "w2"} {
					want := generator.Token(prompt, version, 0) + generator.Token(prompt, version, 1)
					if err == nil && s.text == want && !slices.Contains(served, version) {
						served = append(served, version)
					}
				}
				is.True(err != nil || len(served) > 0) // an answer of one version
			}
			slices.Sort(served)
			is.Equal(len(served), len(row.Serves))
			for i, version := range row.Serves {
				is.Equal(served[i], version) // versions that answered
			}
		})
	}
}
