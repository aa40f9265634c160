package forwarder_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/platform/platformtest"
)

func TestRetryBudgetBoundsRetriesWhenAllUpstreamsFail(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 3)
		f.forwarder.SetVMs(5)
		faults := &platformtest.Faults{}
		for range 2000 {
			faults.Add(platformtest.InternalError)
		}
		for _, w := range f.workers {
			w.Faults = faults
		}
		const requests = 200
		for n := range requests {
			f.do(f.request(t, "idempotent", fmt.Sprint(n)))
			time.Sleep(10 * time.Millisecond)
		}
		repeats := f.arrivals() - requests
		is.True(repeats > 10)               // some retries are made
		is.True(repeats <= requests/5+50/5) // the ratio, and the share that one of 5 VMs has in the extra budget
	})
}

func TestNonIdempotentRequestsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 3)
		kinds := []platformtest.WorkerFault{
			platformtest.WorkerHealthy, platformtest.ResponseLost, platformtest.Shed, platformtest.WrongRequestID, platformtest.InternalError,
			platformtest.Truncated, platformtest.Misdirected, platformtest.Unsigned, platformtest.StreamBroken,
		}
		faults := &platformtest.Faults{}
		for n := range 400 {
			faults.Add(kinds[n*7%len(kinds)])
		}
		for _, w := range f.workers {
			w.Faults = faults
		}
		var group sync.WaitGroup
		var mu sync.Mutex
		refused := make(map[string]bool)
		for n := range 150 {
			group.Go(func() {
				route := []string{"non_idempotent", "stream"}[n%2]
				id := fmt.Sprint("r", n)
				time.Sleep(time.Duration(n) * 3 * time.Millisecond)
				a := f.do(f.request(t, route, id))
				mu.Lock()
				defer mu.Unlock()
				refused[id] = a.status == http.StatusServiceUnavailable
			})
		}
		group.Wait()
		ran := make(map[string]int)
		for _, w := range f.workers {
			for _, run := range w.Runs() {
				ran[run.ID]++
			}
		}
		for id, times := range ran {
			is.True(times <= 1)
			is.True(!refused[id]) // a 503 states that the request was not run
		}
	})
}

func TestUnreachableUpstreamIsSkipped(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 2)
		f.network.Stop("10.0.0.1:80")
		for n := range 20 {
			a := f.do(f.request(t, "non_idempotent", fmt.Sprint(n)))
			is.Equal(a.status, http.StatusOK) // a request that was not sent is retried on any route
		}
		is.Equal(len(f.workers[1].Runs()), 20)
	})
}

func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 2)
		r := registrar.New()
		for _, u := range f.directory.upstreams["s"] {
			r.Put(time.Now(), u)
		}
		leaving := *f.directory.upstreams["s"][0]
		leaving.Leaving = true
		r.Put(time.Now(), &leaving)
		f.directory.upstreams["s"] = r.Usable("s")
		for n := range 10 {
			is.Equal(f.do(f.request(t, "idempotent", fmt.Sprint(n))).status, http.StatusOK)
		}
		is.Equal(len(f.workers[0].Runs()), 0)
	})
}

func TestRequestsPerUpstreamAreLimited(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 1)
		f.workers[0].ResponseDelay = 400 * time.Millisecond
		const requests = 40
		var group sync.WaitGroup
		var mu sync.Mutex
		statuses := make(map[int]int)
		for n := range requests {
			group.Go(func() {
				a := f.do(f.request(t, "once", fmt.Sprint(n)))
				mu.Lock()
				defer mu.Unlock()
				statuses[a.status]++
				if a.status == http.StatusServiceUnavailable {
					is.True(a.header.Get("Retry-After") != "")
					is.True(a.took <= timeout/2) // within the latency objective, before the deadline
				}
			})
		}
		group.Wait()
		is.Equal(statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable], requests)
		is.True(statuses[http.StatusOK] >= 4)
		is.Equal(f.arrivals(), statuses[http.StatusOK]) // refused requests were not sent
	})
}

// TestErrorAfterRunDoesNotClaimNotRun has an idempotent request run and fail at
// the only upstream. No upstream is left for a retry; the error must not be the
// one for requests that were not run.
func TestErrorAfterRunDoesNotClaimNotRun(t *testing.T) {
	t.Parallel()
	for _, fault := range []platformtest.WorkerFault{platformtest.InternalError, platformtest.ResponseLost, platformtest.Truncated} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, 1)
				f.workers[0].Faults.Add(fault)
				a := f.do(f.request(t, "idempotent", "a"))
				is.Equal(f.runs(), 1)
				is.Equal(a.status, http.StatusBadGateway)
				is.Equal(a.header.Get("Retry-After"), "")
			})
		})
	}
}

// TestUpstreamReachabilityChangesAreLogged stops an upstream and starts it
// again. Each change is logged once, not once per request.
func TestUpstreamReachabilityChangesAreLogged(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 1)
		f.network.Stop("10.0.0.1:80")
		for n := range 5 {
			f.do(f.request(t, "idempotent", fmt.Sprint("lost ", n)))
		}
		is.Equal(strings.Count(f.log.String(), `"event":"upstream_unreachable"`), 1) // once, not per request
		f.network.Serve("10.0.0.1:80", f.workers[0])
		for n := range 5 {
			is.Equal(f.do(f.request(t, "idempotent", fmt.Sprint("back ", n))).status, http.StatusOK)
		}
		is.Equal(strings.Count(f.log.String(), `"event":"upstream_reached"`), 1)
	})
}

// TestConnectionLimitBoundsRequests has an upstream with many slots and few
// connections. Requests may use 60 % of its connections.
func TestConnectionLimitBoundsRequests(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 1)
		c := testConfiguration()
		s := c.Services["s"]
		s.MaxConnections = 10
		c.Services["s"] = s
		f.directory.configure(c)
		f.directory.upstreams["s"][0].Slots = 100
		f.workers[0].ResponseDelay = 300 * time.Millisecond
		var group sync.WaitGroup
		for n := range 30 {
			group.Go(func() { f.do(f.request(t, "idempotent", fmt.Sprint(n))) })
		}
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.arrivals(), 6)
		group.Wait()
	})
}
