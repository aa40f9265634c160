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
	// families is the number of prefix families, with one request each.
	families = 20
)

// stubIndex is an index that lists up-0 as the holder of the whole prompt. With
// incarnation 0 it does not reply.
type stubIndex struct{ incarnation uint64 }

// Lookup implements chooser.Index.
func (s *stubIndex) Lookup(_ context.Context, checkpoints []hasher.Hash) ([]indexer.Holding, bool) {
	if s.incarnation == 0 {
		return nil, false
	}
	held := len(checkpoints) * hasher.CheckpointBlocks
	return []indexer.Holding{{Upstream: "up-0", Incarnation: s.incarnation, HeldBlocks: held}}, true
}

// leavingUpstreams lists the upstreams that must not be sent new requests.
type leavingUpstreams []string

// AcceptsRequests implements chooser.DepartureTracker.
func (l leavingUpstreams) AcceptsRequests(name string) bool { return !slices.Contains(l, name) }

// HandleLeavingRefusal implements chooser.DepartureTracker.
func (l leavingUpstreams) HandleLeavingRefusal(time.Time, string) {}

func readTests[T any](t *testing.T, path string) []T {
	t.Helper()
	var tests []T
	scripter.Read(t, path, &tests)
	return tests
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

func newChooser(t *testing.T, b *checker.Bundle, index chooser.Index, leaving leavingUpstreams) *chooser.Chooser {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	c, err := chooser.New(chooser.Config{Region: region, Index: index, Departures: leaving, Log: logrus.NewEntry(log)})
	is.New(t).NoErr(err)
	c.SetBundle(b)
	return c
}

func newStreamJob(b *checker.Bundle, id, organisation, prompt string) dispatcher.Job {
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

func loadedModels(version string) []observer.LoadedModel {
	return []observer.LoadedModel{{Name: modelName, WeightsVersion: version}}
}

// TestRestartInvalidatesCacheEstimate checks that cache contents recorded for an
// earlier incarnation of an engine, by the index or by requests of this router, do
// not count after a report of a new incarnation.
func TestRestartInvalidatesCacheEstimate(t *testing.T) {
	t.Parallel()
	type step struct {
		// Report is the incarnation in a load report, 0 for a request. Index is the
		// incarnation that the index returns, 0 if it does not reply.
		Report, Index uint64
		Organisation  string
		// Missing is the expected number of blocks to compute.
		Missing int
		Send    bool
	}
	for _, tt := range readTests[struct {
		Name  string
		Steps []step
	}](t, "testdata/cache_estimates.json") {
		t.Run(tt.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := newBundle([]netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:80")}, "")
			index := &stubIndex{}
			c := newChooser(t, b, index, nil)
			for i, s := range tt.Steps {
				now := time.Now()
				if s.Report > 0 {
					c.RecordReports([]observer.Report{{Upstream: "up-0", Incarnation: s.Report, At: now, Models: loadedModels("w2")}})
					continue
				}
				index.incarnation = s.Index
				j := newStreamJob(b, fmt.Sprint(i), s.Organisation, strings.Repeat("x", blocks*hasher.BlockBytes))
				choice, err := c.Choose(t.Context(), j, 1, nil)
				is.NoErr(err)
				is.Equal(choice.MissingBlocks, s.Missing) // blocks to compute
				if s.Send {
					c.Sent(now, choice)
					c.FirstToken(now, choice)
					c.Finished(now, choice)
				}
			}
		})
	}
}

// answerSink concatenates the text of an answer.
type answerSink struct{ text string }

// WriteChunk implements dispatcher.Sink.
func (s *answerSink) WriteChunk(_ uint64, c encoder.Chunk) error {
	s.text += c.Text()
	return nil
}

// TestWeightsChangeBetweenReportAndSend sends requests to engines that changed
// their weights after the last report. Every answer has to come from one version
// that may be served.
func TestWeightsChangeBetweenReportAndSend(t *testing.T) {
	t.Parallel()
	for _, tt := range readTests[struct {
		Name, Previous           string
		Reported, Loaded, Serves []string
		Leaving                  leavingUpstreams
	}](t, "testdata/versions.json") {
		t.Run(tt.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			addresses := make([]netip.AddrPort, 0, len(tt.Loaded))
			reports := make([]observer.Report, 0, len(tt.Loaded))
			for i, version := range tt.Loaded {
				e := generator.New(generator.Config{Name: fmt.Sprintf("up-%d", i), Models: loadedModels(version), Slots: 8, CacheBlocks: 64, Incarnation: 1})
				server := httptest.NewServer(generator.Handler(e))
				t.Cleanup(server.Close)
				addresses = append(addresses, netip.MustParseAddrPort(server.Listener.Addr().String()))
				reports = append(reports, observer.Report{Upstream: fmt.Sprintf("up-%d", i), Incarnation: 1, At: time.Now(), Models: loadedModels(tt.Reported[i])})
			}
			b := newBundle(addresses, tt.Previous)
			c := newChooser(t, b, nil, tt.Leaving)
			c.RecordReports(reports)
			calls := caller.New(caller.Config{})
			t.Cleanup(calls.Close)
			log := logrus.New()
			log.SetOutput(io.Discard)
			d := dispatcher.New(dispatcher.Config{Caller: calls, Chooser: c, Log: logrus.NewEntry(log)})
			var served []string
			for n := range families {
				prompt := strings.Repeat(fmt.Sprintf("family %04d. ", n), 200)
				s := &answerSink{}
				err := d.Complete(t.Context(), newStreamJob(b, fmt.Sprint("r-", n), "a", prompt), s)
				is.Equal(err == nil, len(tt.Serves) > 0) // fails only if no engine has weights that may be served
				for _, version := range []string{"w1", "w2"} {
					want := generator.Token(prompt, version, 0) + generator.Token(prompt, version, 1)
					if err == nil && s.text == want && !slices.Contains(served, version) {
						served = append(served, version)
					}
				}
				is.True(err != nil || len(served) > 0) // answered with the weights of one version
			}
			slices.Sort(served)
			is.Equal(len(served), len(tt.Serves))
			for i, version := range tt.Serves {
				is.Equal(served[i], version) // versions that served requests
			}
		})
	}
}
