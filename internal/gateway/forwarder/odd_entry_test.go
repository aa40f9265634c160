package forwarder_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/platform"
)

// oddEntry is an entry of another writer beside those of sound upstreams.
type oddEntry struct {
	Name string `json:"name"`
	// ID is that of the entry, which may come before or after those of the workers.
	ID    string `json:"id"`
	Value string `json:"value"`
	Route string `json:"route"`
	// Refused is the number of requests that may be refused unrun: the entry could be that
	// of a process which another one has replaced at its address, and the route has one
	// attempt.
	Refused int `json:"refused"`
}

// TestOddEntryLeavesSoundUpstreamsInUse sends requests at once and one after the other while
// another writer's entry is there. They are served, and sound upstreams take as many at once
// as without it.
func TestOddEntryLeavesSoundUpstreamsInUse(t *testing.T) {
	t.Parallel()
	var rows []oddEntry
	scripter.Read(t, "testdata/odd_entries.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runOddEntry(t, row) })
		})
	}
}

func runOddEntry(t *testing.T, row oddEntry) {
	is := is.New(t)
	f := newFixture(t, 2)
	usual := f.servedAtOnce(t, row.Route, "usual")
	r := registrar.New()
	for n := range f.workers {
		r.Put(time.Now(), f.entry(n))
	}
	if u, err := platform.DecodeUpstream(platform.UpstreamPrefix+row.ID, []byte(row.Value)); err == nil {
		r.Put(time.Now(), u)
	}
	f.directory.setUpstreams(r.Usable("s"))
	const alone = 30
	served := 0
	for n := range alone {
		time.Sleep(50 * time.Millisecond)
		a := f.do(f.request(t, row.Route, fmt.Sprint("alone ", n)))
		if a.status == http.StatusOK {
			served++
			continue
		}
		is.Equal(a.status, http.StatusServiceUnavailable)
	}
	is.True(served >= alone-row.Refused)
	is.Equal(f.servedAtOnce(t, row.Route, "odd"), usual)
}

// servedAtOnce sends more requests at once than the upstreams may have in flight, and
// returns how many are served.
func (f *fixture) servedAtOnce(t *testing.T, route, name string) int {
	t.Helper()
	for _, w := range f.workers {
		w.ResponseDelay = 400 * time.Millisecond
		defer func() { w.ResponseDelay = 0 }()
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for n := range 120 {
		group.Go(func() {
			a := f.do(f.request(t, route, fmt.Sprint(name, n)))
			mu.Lock()
			defer mu.Unlock()
			if a.status == http.StatusOK {
				served++
			}
		})
	}
	group.Wait()
	return served
}
