package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/platform/platformtest"
)

func TestUpstreamGetsRemainingDeadline(t *testing.T) {
	t.Parallel()
	for _, row := range []struct {
		deadline string
		want     int
	}{{"400", 400}, {"5000", 1000}, {"", 1000}} {
		t.Run("client deadline "+row.deadline, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, 1)
				r := f.request(t, "idempotent", "a")
				r.Header.Del("Deadline-Ms")
				if row.deadline != "" {
					r.Header.Set("Deadline-Ms", row.deadline)
				}
				is.Equal(f.do(r).status, http.StatusOK)
				left, err := strconv.Atoi(f.workers[0].Runs()[0].Header.Get("Deadline-Ms"))
				is.NoErr(err)
				is.Equal(left, row.want)
			})
		})
	}
}

func TestRetryGetsRemainingDeadline(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 2)
		faults := &platformtest.Faults{}
		faults.Add(platformtest.InternalError)
		for _, w := range f.workers {
			w.Faults, w.ResponseDelay = faults, 300*time.Millisecond
		}
		is.Equal(f.do(f.request(t, "idempotent", "a")).status, http.StatusOK)
		var remaining []int
		for _, w := range f.workers {
			for _, run := range w.Runs() {
				left, err := strconv.Atoi(run.Header.Get("Deadline-Ms"))
				is.NoErr(err)
				remaining = append(remaining, left)
			}
		}
		is.Equal(len(remaining), 2)
		is.Equal(min(remaining[0], remaining[1]), 700)
	})
}

func TestClientDisconnectCancelsRequest(t *testing.T) {
	t.Parallel()
	for _, route := range []string{"idempotent", "non_idempotent", "stream", "resumable"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, 2)
				for _, w := range f.workers {
					w.ResponseDelay = 800 * time.Millisecond
				}
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(100*time.Millisecond, cancel)
				a := f.do(f.request(t, route, "a").WithContext(ctx))
				is.True(a.err != nil)
				time.Sleep(50 * time.Millisecond)
				is.Equal(f.runs(), 1) // it is not retried
				for _, w := range f.workers {
					for _, run := range w.Runs() {
						is.True(run.Cancelled)
					}
				}
			})
		})
	}
}

func TestIsolatedOrganisationsHaveTheirOwnCache(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 1)
		salts := make(map[string]string)
		for _, key := range []string{"k1", "k2"} {
			for _, prefix := range []string{"short:100", "long:5000"} {
				r := f.request(t, "stream", key+prefix)
				r.Header.Set("Credential", key)
				r.Header.Set("Prompt-Prefix", prefix+",own:10")
				r.Header.Set("Cache-Salt", "forged")
				is.Equal(f.do(r).status, http.StatusOK)
				runs := f.workers[0].Runs()
				run := runs[len(runs)-1]
				salts[key+prefix] = run.Header.Get("Cache-Salt")
				is.Equal(run.Header.Get("Expect-Version") != "", strings.HasPrefix(prefix, "long"))
			}
		}
		shared := ":9250b9912ee91d6b46e23299459ecd6e" // not what o2 wrote to before it was isolated
		is.Equal(salts["k1short:100"], shared)
		is.Equal(salts["k2short:100"], "o2")
		is.Equal(salts["k1long:5000"], shared+"@1")
		is.Equal(salts["k2long:5000"], "o2@1")
	})
}

func TestOldWeightsAreNotUsedAfterApplyTime(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 2)
		f.workers[1].SetModel("m", 2)
		f.directory.upstreams["s"][1].Weights = map[string]uint64{"m": 2}
		announced := time.Now()
		f.directory.setWeights(informer.Weights{Version: 2, Since: announced})
		// The upstream with new weights is in another zone and costs more, so
		// the old one is chosen as long as that is allowed.
		chosen := func(at time.Duration) string {
			time.Sleep(time.Until(announced.Add(at)))
			before := len(f.workers[0].Runs())
			a := f.do(f.request(t, "once", fmt.Sprint("at ", at)))
			is.Equal(a.status, http.StatusOK)
			if len(f.workers[0].Runs()) > before {
				return "old"
			}
			return "new"
		}
		f.directory.upstreams["s"][1].AvailabilityZone = "far"
		is.Equal(chosen(0), "old")
		is.Equal(chosen(500*time.Millisecond), "old")
		for at := 4 * time.Second; at < 12*time.Second; at += 500 * time.Millisecond {
			is.Equal(chosen(at), "new") // from half of the 8 s of WeightsApply on
		}
		// Old weights are not used then, even if no other upstream is left.
		f.directory.mu.Lock()
		f.directory.upstreams["s"] = f.directory.upstreams["s"][:1]
		f.directory.mu.Unlock()
		a := f.do(f.request(t, "once", "nothing left"))
		is.Equal(a.status, http.StatusServiceUnavailable)
	})
}

// TestStalledClientIsDisconnected has a client that reads the header of a
// stream and nothing more. Without a write deadline it would occupy the
// upstream.
func TestStalledClientIsDisconnected(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 1)
		f.workers[0].Events, f.workers[0].EventInterval = 1000, 10*time.Millisecond
		response, err := f.client.Do(f.request(t, "resumable", "a"))
		is.NoErr(err)
		time.Sleep(2 * timeout)
		is.Equal(len(f.forwarder.Loads()), 0) // the upstream has its capacity back
		is.True(f.workers[0].Runs()[0].Cancelled)
		is.Equal(f.runs(), 1)
		_ = response.Body.Close()
	})
}

// TestKeepAliveRequestsHaveOwnDeadlines sends requests on one connection for
// longer than the timeout of the first. The write deadline of a request must
// not apply to the next one.
func TestKeepAliveRequestsHaveOwnDeadlines(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 1)
		for n := range 5 {
			a := f.do(f.request(t, "stream", fmt.Sprint(n)))
			is.Equal(a.status, http.StatusOK)
			is.NoErr(a.err)
			time.Sleep(2 * timeout)
		}
	})
}
