package reserver_test

import (
	"bytes"
	"errors"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/operating/reserver"
)

const (
	kib        = 1 << 10
	testBudget = 1024 * kib
)

func newReserver() (*reserver.Reserver, *bytes.Buffer) {
	var lines bytes.Buffer
	log := logrus.New()
	log.SetOutput(&lines)
	return reserver.New(reserver.Config{Bytes: testBudget, Meter: meter.New(), Log: logrus.NewEntry(log)}), &lines
}

// TestLargeRequestsLeaveRoom guards against large requests that use the whole budget, and
// against small ones that are refused.
func TestLargeRequestsLeaveRoom(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, lines := newReserver()
		large := r.OpenRequest(func() {})
		is.NoErr(large.Reserve(768 * kib))
		is.Equal(r.OpenRequest(nil).Reserve(129*kib), reserver.ErrNoMemory)
		medium := []*reserver.Reservation{r.OpenRequest(nil), r.OpenRequest(nil)}
		for _, m := range medium {
			is.NoErr(m.Reserve(128 * kib))
		}
		is.Equal(r.OpenRequest(nil).Reserve(17*kib), reserver.ErrNoMemory)
		small := r.OpenRequest(nil)
		is.NoErr(small.Reserve(16 * kib)) // over the budget
		is.Equal(strings.Count(lines.String(), "memory_short"), 1)
		for _, v := range append(medium, small, large, large) {
			v.Release()
		}
		is.Equal(r.Held(), int64(0))
	})
}

// TestStalledRequestsAreEvicted guards against requests that keep their memory without
// sending, and against the eviction of one that has been read completely.
func TestStalledRequestsAreEvicted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, lines := newReserver()
		body, client := io.Pipe()
		stalled := r.OpenRequest(func() { _ = body.CloseWithError(os.ErrDeadlineExceeded) })
		ended := make(chan error)
		go func() {
			_, err := stalled.ReadAll(body, 400*kib, 500*kib)
			ended <- err
		}()
		_, _ = client.Write(make([]byte, 399*kib))
		complete := r.OpenRequest(func() { t.Error("a complete request was evicted") })
		is.NoErr(complete.Reserve(300 * kib))
		is.NoErr(complete.Complete())
		late := r.OpenRequest(nil)
		is.Equal(late.Reserve(200*kib), reserver.ErrNoMemory) // nothing has stalled yet
		time.Sleep(time.Second)
		is.NoErr(late.Reserve(200 * kib))
		is.Equal(<-ended, reserver.ErrEvicted)
		is.Equal(stalled.Complete(), reserver.ErrEvicted)
		is.Equal(stalled.Reserve(1), reserver.ErrEvicted)
		is.Equal(r.Held(), int64(500*kib))
		is.Equal(strings.Count(lines.String(), "reason=stalled"), 1)
	})
}

// TestReadAll guards against bodies that are read wrongly or beyond what is reserved, and
// against bytes that stay reserved.
func TestReadAll(t *testing.T) {
	t.Parallel()
	broken := errors.New("broken")
	rows := []struct {
		name             string
		size             int
		announced, limit int64
		err              error
		failure          error
		maxHeld          int64
	}{
		{name: "announced", size: 100 * kib, announced: 100 * kib, limit: 500 * kib, maxHeld: 100*kib + 1},
		{name: "empty", size: 0, announced: 0, limit: 500 * kib, maxHeld: 1},
		{name: "not announced", size: 100 * kib, announced: -1, limit: 500 * kib, maxHeld: 128 * kib},
		{name: "up to the limit", size: 500 * kib, announced: -1, limit: 500*kib + 1, maxHeld: 500*kib + 1},
		{name: "at the limit", size: 64 * kib, announced: -1, limit: 64 * kib, err: reserver.ErrFull, maxHeld: 64 * kib},
		{name: "over the budget", size: 900 * kib, announced: 900 * kib, limit: 999 * kib, err: reserver.ErrNoMemory},
		{name: "over the budget while it arrives", size: 900 * kib, announced: -1, limit: 999 * kib, err: reserver.ErrNoMemory, maxHeld: 512 * kib},
		{name: "breaks off", size: 50 * kib, announced: 60 * kib, limit: 500 * kib, failure: broken, err: broken, maxHeld: 60*kib + 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r, _ := newReserver()
			v := r.OpenBuffer()
			sent := bytes.Repeat([]byte("abcdefg"), row.size/7+1)[:row.size]
			var source io.Reader = bytes.NewReader(sent)
			if row.failure != nil {
				source = io.MultiReader(source, iotest.ErrReader(row.failure))
			}
			data, err := v.ReadAll(source, row.announced, row.limit)
			is.True(errors.Is(err, row.err))
			is.Equal(r.Held(), row.maxHeld)
			is.True(bytes.HasPrefix(sent, data))
			is.True(err != nil || len(data) == row.size)
			v.Release()
			is.Equal(r.Held(), int64(0))
			unlimited, err := (*reserver.Reserver)(nil).OpenBuffer().ReadAll(bytes.NewReader(sent), row.announced, row.limit)
			is.True(err == nil || errors.Is(err, reserver.ErrFull))
			is.Equal(len(unlimited), row.size)
		})
	}
}

// TestReservationsAddUp guards against bytes that concurrent requests lose or leave behind.
func TestReservationsAddUp(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r, _ := newReserver()
	var readers sync.WaitGroup
	for n := range 200 {
		readers.Go(func() {
			v := r.OpenRequest(func() {})
			defer v.Release()
			if _, err := v.ReadAll(bytes.NewReader(make([]byte, n*kib)), int64(n%2*(n*kib+1)-1), testBudget); err == nil {
				_ = v.Complete()
			}
		})
	}
	readers.Wait()
	is.Equal(r.Held(), int64(0))
}

// TestSmallRequestsAreBoundedInSum guards against requests that get memory because they are
// small, whatever the budget.
func TestSmallRequestsAreBoundedInSum(t *testing.T) {
	t.Parallel()
	for name, size := range map[string]int64{"small": 16 * kib, "medium": 64 * kib, "large": 256 * kib} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r, _ := newReserver()
			for range 1000 {
				_ = r.OpenRequest(nil).Reserve(size) // refused once the budget is exhausted
			}
			is.True(r.Held() > 0)
			is.True(r.Held() <= reserver.Total(testBudget))
			is.NoErr(r.OpenRequest(nil).Reserve(2 * kib)) // an ordinary request is served all the same
		})
	}
}

// TestSmallRequestsFitBesideConnections guards against connections that leave no memory for
// requests on them.
func TestSmallRequestsFitBesideConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r, _ := newReserver()
	connections := 0
	for r.OpenConnection(nil).Reserve(reserver.ConnectionBytes) == nil {
		connections++
	}
	is.Equal(connections, testBudget/reserver.ConnectionBytes)
	is.NoErr(r.OpenRequest(nil).Reserve(16 * kib))
	is.Equal(r.OpenRequest(nil).Reserve(64*kib), reserver.ErrNoMemory)
}

// TestRequestIsEvictedWithItsConnection guards against a stalled request that keeps the memory
// of a large head because its body is small.
func TestRequestIsEvictedWithItsConnection(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, _ := newReserver()
		connection := r.OpenConnection(func() { t.Error("a connection was evicted without its request") })
		is.NoErr(connection.Reserve(600 * kib))
		is.NoErr(connection.Complete())
		evicted := false
		request := r.OpenRequest(func() { evicted = true })
		request.Join(reserver.WithConnection(t.Context(), connection))
		is.NoErr(request.Reserve(kib))
		time.Sleep(2 * time.Second)
		is.NoErr(r.OpenRequest(nil).Reserve(500 * kib))
		is.True(evicted)
		is.Equal(r.Held(), int64(500*kib))
		connection.Release()
		is.Equal(r.Held(), int64(500*kib))
	})
}

// TestHeadCost checks that many short fields cost more than one of the same length.
func TestHeadCost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	one := []byte("X: " + strings.Repeat("y", 4*kib) + "\r\n")
	many := []byte(strings.Repeat("X: y\r\n", len(one)/6))
	is.True(reserver.HeadCost(one) >= 2*int64(len(one)))
	is.True(reserver.HeadCost(many) > 10*reserver.HeadCost(one))
	is.True(reserver.HeadCost([]byte(strings.Repeat("Field: ordinary value\r\n", 12))) <= reserver.HeadAllowance)
}
