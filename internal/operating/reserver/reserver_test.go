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
