package forwarder_test

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/membership/registrar"
)

// slowDial is a time to open a connection to a worker.
const slowDial = 700 * time.Millisecond

// TestDrainingWhileDialling removes the entry of a worker, as a draining one's is,
// while a connection to it opens. The request must go elsewhere, or be refused.
func TestDrainingWhileDialling(t *testing.T) {
	t.Parallel()
	for _, workers := range []int{1, 2} {
		t.Run(strconv.Itoa(workers), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, workers)
				f.setEntries([]*registrar.Upstream{f.entry(0)})
				f.dialDelay.Store(int64(slowDial))
				r := f.request(t, "idempotent", "request")
				answers := make(chan answer, 1)
				go func() { answers <- f.do(r) }()
				time.Sleep(slowDial / 2)
				f.dialDelay.Store(0)
				var others []*registrar.Upstream
				for n := 1; n < workers; n++ {
					others = append(others, f.entry(n))
				}
				f.setEntries(others)
				a := <-answers
				is.NoErr(a.err)
				is.Equal(f.workers[0].Arrivals(), 0)
				is.Equal(a.status == 200, workers > 1)
			})
		})
	}
}

// TestDeadlineAfterDialling sends a request over a connection that opens slowly. The
// worker must be told of the time that is left then.
func TestDeadlineAfterDialling(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 1)
		f.dialDelay.Store(int64(slowDial))
		is.Equal(f.do(f.request(t, "idempotent", "request")).status, 200)
		left := (timeout - slowDial).Milliseconds()
		is.Equal(f.workers[0].Runs()[0].Header.Get("Deadline-Ms"), strconv.FormatInt(left, 10))
	})
}
