package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/peering/coordinator"
	"gentianstep.example/gentianstep/internal/routing/matcher"
	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/platform/platformtest"
)

// longPartTokens is the length of a shared part by which requests are routed,
// shortPartTokens of one by which they are not.
const (
	longPartTokens  = 5000
	shortPartTokens = 100
)

// isolationStep is a configuration, and the requests of all organisations in turn after it.
type isolationStep struct {
	// Isolated and Removed name organisations that share no cache or that the
	// configuration lacks.
	Isolated []string `json:"isolated"`
	Removed  []string `json:"removed"`
	// Reads is the number of times that one of the two shared parts is read, because
	// nothing in the scope of the request has it.
	Reads int `json:"reads"`
}

type isolationRow struct {
	Name string `json:"name"`
	// Names are those of the organisations; a, b and c by default.
	Names []string        `json:"names"`
	Steps []isolationStep `json:"steps"`
}

// cachedPart is a part that an engine has read, by the scope in which it is found.
type cachedPart struct{ scope, part string }

// TestCacheOfIsolatedOrganisationIsNotUsedByOthers guards against cache that an organisation
// made before it became isolated and that others still use, and against others that stop
// sharing. No VM needs to have seen an earlier configuration.
func TestCacheOfIsolatedOrganisationIsNotUsedByOthers(t *testing.T) {
	t.Parallel()
	var rows []isolationRow
	scripter.Read(t, "testdata/isolation.json", &rows)
	for _, row := range rows {
		for name, restarts := range map[string]bool{"one VM": false, "a new VM for each configuration": true} {
			t.Run(row.Name+", "+name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { row.check(t, restarts) })
			})
		}
	}
}

func (row isolationRow) check(t *testing.T, restarts bool) {
	is := is.New(t)
	if row.Names == nil {
		row.Names = []string{"a", "b", "c"}
	}
	makers := make(map[cachedPart][]string)
	f := newFixture(t, 1)
	for n, step := range row.Steps {
		if restarts {
			f = newFixture(t, 1)
		}
		f.directory.configure(isolationConfiguration(row.Names, step))
		reads := 0
		for k, name := range row.Names {
			if slices.Contains(step.Removed, name) {
				continue
			}
			for _, tokens := range []int{longPartTokens, shortPartTokens} {
				part := cachedPart{f.scopeOf(t, fmt.Sprintf("%d-%d-%d", n, k, tokens), name, tokens), fmt.Sprint(tokens)}
				for _, maker := range makers[part] {
					across := maker != name && (slices.Contains(step.Isolated, maker) || slices.Contains(step.Isolated, name))
					is.True(!across) // cache of an isolated organisation is used by another
				}
				if makers[part] == nil {
					reads++
				}
				makers[part] = append(makers[part], name)
			}
		}
		is.Equal(reads, step.Reads)
	}
}

// scopeOf sends a request of an organisation and returns the scope in which it was run.
func (f *fixture) scopeOf(t *testing.T, id, organisation string, tokens int) string {
	t.Helper()
	a := f.do(f.isolationRequest(t, "stream", id, organisation, tokens))
	if a.status != http.StatusOK {
		t.Fatalf("request %s of organisation %q: status %d, error %v", id, organisation, a.status, a.err)
	}
	return f.runsByID(id)[0].Header.Get("Cache-Salt")
}

// isolationRequest returns a request of an organisation whose key is its name.
func (f *fixture) isolationRequest(t *testing.T, route, id, organisation string, tokens int) *http.Request {
	t.Helper()
	r := f.request(t, route, id)
	r.Header.Set("Credential", "key-"+organisation)
	r.Header.Set("Prompt-Prefix", fmt.Sprintf("part:%d,own:10", tokens))
	return r
}

// runsByID returns the runs of a request in their order.
func (f *fixture) runsByID(id string) []platformtest.Run {
	var runs []platformtest.Run
	for _, w := range f.workers {
		for _, run := range w.Runs() {
			if run.ID == id {
				runs = append(runs, run)
			}
		}
	}
	slices.SortFunc(runs, func(a, b platformtest.Run) int { return a.At.Compare(b.At) })
	return runs
}

func isolationConfiguration(names []string, step isolationStep) *matcher.Configuration {
	c := testConfiguration()
	for n := range c.Routes {
		c.Routes[n].Timeout, c.Routes[n].TargetLatency = longTimeout, longTimeout
	}
	c.Organisations = nil
	for _, name := range names {
		if !slices.Contains(step.Removed, name) {
			c.Organisations = append(c.Organisations, matcher.Organisation{
				Name: name, Keys: []string{"key-" + name}, Isolated: slices.Contains(step.Isolated, name),
			})
		}
	}
	return c
}

// isolationPhase is where a request is while the configuration changes.
type isolationPhase string

const (
	waitsForCapacity   isolationPhase = "capacity"
	waitsForConnection isolationPhase = "connection"
	waitsAtEngine      isolationPhase = "engine"
	beforeRetry        isolationPhase = "retry"
	beforeResumption   isolationPhase = "resume"
	withinStream       isolationPhase = "stream"
)

// inFlightRow is a request that is in flight while a configuration comes into force.
type inFlightRow struct {
	Name         string         `json:"name"`
	Phase        isolationPhase `json:"phase"`
	Organisation string         `json:"organisation"`
	// Tokens is the length of the shared part, longPartTokens by default.
	Tokens int `json:"tokens"`
	// Before and After name the isolated organisations, Removed those that the new
	// configuration lacks.
	Before  []string `json:"before"`
	After   []string `json:"after"`
	Removed []string `json:"removed"`
	// Runs is the number of runs that begin at engines.
	Runs int `json:"runs"`
	// Keeps is true if the last run uses the scope of the old configuration.
	Keeps bool `json:"keeps"`
}

const (
	// changeAfter is the time from sending the request to the new configuration, and
	// goesOnAfter to when what the request waits for happens.
	changeAfter = time.Second
	goesOnAfter = 3500 * time.Millisecond
)

// TestRequestInFlightUsesNoScopeOfOldConfiguration guards against a request that was admitted
// before an organisation became isolated and begins afterwards in the scope of then.
func TestRequestInFlightUsesNoScopeOfOldConfiguration(t *testing.T) {
	t.Parallel()
	var rows []inFlightRow
	scripter.Read(t, "testdata/isolation_in_flight.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { row.check(t) })
		})
	}
}

func (row inFlightRow) check(t *testing.T) {
	is := is.New(t)
	if row.Tokens == 0 {
		row.Tokens = longPartTokens
	}
	names := []string{"a", "b", "c"}
	f := newFixture(t, 2)
	f.directory.setUpstreams(f.directory.Usable("s")[:1])
	f.directory.configure(isolationConfiguration(names, isolationStep{Isolated: row.Before}))
	oldScope := f.scopeOf(t, "before", row.Organisation, row.Tokens)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go f.forwarder.Run(ctx)
	goOn := f.hold(t, row.Phase)
	time.AfterFunc(changeAfter, func() {
		f.directory.configure(isolationConfiguration(names, isolationStep{Isolated: row.After, Removed: row.Removed}))
		f.forwarder.CheckWaiting()
	})
	time.AfterFunc(goesOnAfter, goOn)
	r := f.isolationRequest(t, "resumable", "id", row.Organisation, row.Tokens)
	r.Header.Set("Deadline-Ms", "15000")
	a := f.do(r)
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusOK)
	runs := f.runsByID("id")
	is.Equal(len(runs), row.Runs)
	scope := runs[len(runs)-1].Header.Get("Cache-Salt")
	if row.Keeps {
		is.Equal(scope, oldScope)
		is.Equal(f.arrivals(), 2) // it is not withdrawn
		return
	}
	is.True(scope != oldScope)
	if !slices.Contains(row.Removed, row.Organisation) {
		is.Equal(scope, f.scopeOf(t, "after", row.Organisation, row.Tokens))
	}
}

// hold makes the next request stop in a phase until the returned function is called.
func (f *fixture) hold(t *testing.T, phase isolationPhase) func() {
	t.Helper()
	w := f.workers[0]
	switch phase {
	case waitsForCapacity:
		f.reportInFlight(t, 100)
		return func() { f.reportInFlight(t, 0) }
	case waitsForConnection:
		time.Sleep(2 * time.Second) // the kept connection is closed
		f.dialDelay.Store(int64(goesOnAfter))
		return func() { f.dialDelay.Store(0) }
	case waitsAtEngine:
		w.Slots = 1
		w.OccupySlots(1)
		return func() { w.FreeSlots(1) }
	case beforeRetry:
		w.SetResponseDelay(goesOnAfter)
		w.Faults.Add(platformtest.ResponseLost)
		return f.addSecondWorker
	case beforeResumption:
		w.EventInterval = goesOnAfter
		w.Faults.Add(platformtest.StreamBroken)
		return f.addSecondWorker
	case withinStream:
		w.EventInterval = goesOnAfter / 2
		return func() {}
	}
	t.Fatalf("unknown phase %q", phase)
	return nil
}

// addSecondWorker registers the worker that newFixture has started as the second one.
func (f *fixture) addSecondWorker() {
	f.directory.setUpstreams(append(f.directory.Usable("s"), f.entry(1)))
}

// reportInFlight tells the VM of requests that other VMs have at the first worker.
func (f *fixture) reportInFlight(t *testing.T, n int) {
	t.Helper()
	err := f.view.Apply(time.Now(), coordinator.State{
		Full: true, Names: []string{f.workers[0].ID}, Loads: []coordinator.UpstreamLoad{{InFlight: n}},
	}, nil)
	if err != nil {
		t.Errorf("report %d requests in flight: %v", n, err)
	}
}
