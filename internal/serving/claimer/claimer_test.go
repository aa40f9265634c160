package claimer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/serving/claimer"
	"gentianstep.example/gentianstep/internal/standin/keeper"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// storeFault strikes calls of a store.
type storeFault struct {
	// Call is grant, put, get or delete.
	Call string `json:"call"`
	// Kind is down, lost, slow, slow_lost or delayed.
	Kind string `json:"kind"`
	// After is the number of calls to let pass first.
	After int `json:"after"`
	Times int `json:"times"`
}

// errStore is an outcome that leaves open whether a write took effect.
var errStore = errors.New("platform: no answer")

// delay is how late a delayed write takes effect.
const delay = 10 * time.Second

// faultyStore is a store whose calls fail as a row says.
type faultyStore struct {
	storer.Store
	mu     sync.Mutex
	faults []storeFault
	writes int
}

func (s *faultyStore) strike(call string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.faults {
		f := &s.faults[i]
		if f.Call != call || f.Times == 0 {
			continue
		}
		if f.After > 0 {
			f.After--
			continue
		}
		f.Times--
		return f.Kind
	}
	return ""
}

// do runs one call under the fault that strikes it.
func (s *faultyStore) do(ctx context.Context, call string, run func() error, late func()) error {
	switch s.strike(call) {
	case "down":
		return errStore
	case "lost":
		_ = run()
		return errStore
	case "slow":
		<-ctx.Done()
		return ctx.Err()
	case "slow_lost":
		_ = run()
		<-ctx.Done()
		return ctx.Err()
	case "delayed":
		time.AfterFunc(delay, late)
		return errStore
	}
	return run()
}

func (s *faultyStore) Put(ctx context.Context, key string, value []byte, opts storer.PutOptions) (revision uint64, err error) {
	s.mu.Lock()
	s.writes++
	s.mu.Unlock()
	err = s.do(ctx, "put", func() error {
		var putErr error
		revision, putErr = s.Store.Put(context.Background(), key, value, opts)
		return putErr
	}, func() { _, _ = s.Store.Put(context.Background(), key, value, opts) })
	return revision, err
}

func (s *faultyStore) Get(ctx context.Context, key string) (entry storer.Entry, err error) {
	err = s.do(ctx, "get", func() error {
		var getErr error
		entry, getErr = s.Store.Get(ctx, key)
		return getErr
	}, nil)
	return entry, err
}

func (s *faultyStore) Grant(ctx context.Context, ttl time.Duration) (lease storer.Lease, err error) {
	s.mu.Lock()
	s.writes++
	s.mu.Unlock()
	err = s.do(ctx, "grant", func() error {
		var grantErr error
		lease, grantErr = s.Store.Grant(ctx, ttl)
		return grantErr
	}, nil)
	return lease, err
}

// claimRow is one fault at the making of a claim.
type claimRow struct {
	Name   string       `json:"name"`
	Faults []storeFault `json:"faults"`
	// Kind is the error of the first arrival, empty for a ticket.
	Kind classifier.Kind `json:"kind"`
	// Second is the error of a second arrival at another router once the
	// faults are over, Other that of another body.
	Second classifier.Kind `json:"second"`
	Other  classifier.Kind `json:"other"`
	// WithinMillis bounds the time of the first arrival.
	WithinMillis int64 `json:"within_millis"`
}

func newClaimer(store storer.Store) *claimer.Claimer {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return claimer.New(claimer.Config{Store: store, Log: logrus.NewEntry(log)})
}

func kindOf(err error) classifier.Kind {
	if err == nil {
		return ""
	}
	return classifier.KindOf(err)
}

func TestClaimsAreSettledUnderFaults(t *testing.T) {
	t.Parallel()
	var rows []claimRow
	scripter.Read(t, "testdata/claims.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runClaimRow(t, row) })
		})
	}
}

func runClaimRow(t *testing.T, row claimRow) {
	is := is.New(t)
	store := &faultyStore{Store: keeper.New(), faults: row.Faults}
	digest := claimer.NewDigest("desk", "POST", "/orders", "", []byte("{}"))
	start := time.Now()
	ticket, err := newClaimer(store).Claim(t.Context(), "kliek-teels", "order-1", digest)
	is.Equal(kindOf(err), row.Kind)
	is.True(time.Since(start) <= time.Duration(row.WithinMillis)*time.Millisecond)
	is.Equal(ticket != nil, row.Kind == "")
	time.Sleep(2 * delay) // the virtual clock lets delayed writes take effect
	store.faults = nil
	second, err := newClaimer(store).Claim(t.Context(), "kliek-teels", "order-1", digest)
	is.Equal(kindOf(err), row.Second)
	is.True(ticket == nil || second == nil) // never two
	another := claimer.NewDigest("desk", "POST", "/orders", "", []byte("another"))
	_, err = newClaimer(store).Claim(t.Context(), "kliek-teels", "order-1", another)
	is.Equal(kindOf(err), row.Other)
	_, err = newClaimer(store).Claim(t.Context(), "another-firm", "order-1", another)
	is.NoErr(err) // keys of organisations are apart
}

func TestOneOfManyArrivalsGetsTheKey(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &faultyStore{Store: keeper.New(), faults: []storeFault{
			{Call: "put", Kind: "slow_lost", Times: 1},
			{Call: "get", Kind: "down", After: 3, Times: 2},
			{Call: "put", Kind: "lost", After: 4, Times: 3},
		}}
		const arrivals = 32
		tickets := make(chan *claimer.Ticket, arrivals)
		var group sync.WaitGroup
		for range arrivals {
			c := newClaimer(store)
			group.Go(func() {
				ticket, err := c.Claim(t.Context(), "kliek-teels", "order-1", "digest")
				if err == nil {
					tickets <- ticket
				}
			})
		}
		group.Wait()
		is.True(len(tickets) <= 1) // at most one arrival may send
	})
}

func TestTicketsEndAndCanBeReleased(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newClaimer(keeper.New())
		ticket, err := c.Claim(t.Context(), "kliek-teels", "order-1", "digest")
		is.NoErr(err)
		is.True(ticket.InForce(time.Now()))
		is.True(!ticket.InForce(time.Now().Add(time.Minute)))          // paused past the deadline
		is.True(!ticket.InForce(time.Now().Add(time.Minute).Round(0))) // by the wall clock too
		ticket.Release(t.Context())
		_, err = c.Claim(t.Context(), "kliek-teels", "order-1", "digest")
		is.NoErr(err) // a released key is free
	})
}

func TestClaimsExpireAndCostOneWrite(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &faultyStore{Store: keeper.New()}
		c := newClaimer(store)
		const claims = 100
		for i := range claims {
			_, err := c.Claim(t.Context(), "kliek-teels", fmt.Sprint(i), "digest")
			is.NoErr(err)
		}
		is.Equal(store.writes, claims+1) // one write each and one lease for all
		time.Sleep(23 * time.Hour)
		_, err := c.Claim(t.Context(), "kliek-teels", "0", "digest")
		is.Equal(kindOf(err), classifier.AlreadyClaimed) // kept for a day
		time.Sleep(3 * time.Hour)
		_, err = c.Claim(t.Context(), "kliek-teels", "0", "digest")
		is.NoErr(err) // removed by the store
	})
}
