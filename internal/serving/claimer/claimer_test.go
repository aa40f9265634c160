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

// storeFault injects faults into calls of one kind.
type storeFault struct {
	// Call is grant, put, get or delete.
	Call string `json:"call"`
	// Kind is down (the call is not executed), lost (executed, without a reply),
	// slow and slow_lost (the same, but failing only when the call times out) or
	// delayed (no reply, executed after the delay).
	Kind string `json:"kind"`
	// After is the number of calls that succeed before the fault.
	After int `json:"after"`
	// Times is the number of calls that fail.
	Times int `json:"times"`
}

// errNoReply leaves the outcome of a write unknown.
var errNoReply = errors.New("platform: no reply")

// writeDelay is the time after which a delayed write takes effect.
const writeDelay = 10 * time.Second

// faultyStore is a store with injected faults.
type faultyStore struct {
	storer.Store
	mu     sync.Mutex
	faults []storeFault
	writes int
}

// nextFault returns the kind of the fault to inject into a call, or an empty string.
func (s *faultyStore) nextFault(call string) string {
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

// do executes a call with its injected fault. For a delayed call it executes late
// after writeDelay.
func (s *faultyStore) do(ctx context.Context, call string, run func() error, late func()) error {
	switch s.nextFault(call) {
	case "down":
		return errNoReply
	case "lost":
		_ = run()
		return errNoReply
	case "slow":
		<-ctx.Done()
		return ctx.Err()
	case "slow_lost":
		_ = run()
		<-ctx.Done()
		return ctx.Err()
	case "delayed":
		time.AfterFunc(writeDelay, late)
		return errNoReply
	}
	return run()
}

func (s *faultyStore) Put(ctx context.Context, key string, value []byte, opts storer.PutOptions) (version storer.Version, err error) {
	s.mu.Lock()
	s.writes++
	s.mu.Unlock()
	err = s.do(ctx, "put", func() error {
		var putErr error
		version, putErr = s.Store.Put(context.Background(), key, value, opts)
		return putErr
	}, func() { _, _ = s.Store.Put(context.Background(), key, value, opts) })
	return version, err
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

// claimTest describes the faults during a claim and the expected results.
type claimTest struct {
	Name   string       `json:"name"`
	Faults []storeFault `json:"faults"`
	// Kind is the error kind of the first request, empty if it gets a ticket.
	Kind classifier.Kind `json:"kind"`
	// Second is the error kind of a request at another router after the faults.
	Second classifier.Kind `json:"second"`
	// Other is the error kind of a third request with a different body.
	Other classifier.Kind `json:"other"`
	// WithinMillis is the maximum duration of the first claim.
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

// TestClaimWithStoreFaults checks that at most one of two requests with the same key
// gets a ticket if calls to the store fail, time out or lose their replies.
func TestClaimWithStoreFaults(t *testing.T) {
	t.Parallel()
	var tests []claimTest
	scripter.Read(t, "testdata/claims.json", &tests)
	for _, tt := range tests {
		t.Run(tt.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runClaimTest(t, tt) })
		})
	}
}

func runClaimTest(t *testing.T, tt claimTest) {
	is := is.New(t)
	store := &faultyStore{Store: keeper.New(), faults: tt.Faults}
	digest := claimer.NewDigest("desk", "POST", "/orders", "", []byte("{}"))
	start := time.Now()
	ticket, err := newClaimer(store).Claim(t.Context(), "kliek-teels", "order-1", digest)
	is.Equal(kindOf(err), tt.Kind)
	is.True(time.Since(start) <= time.Duration(tt.WithinMillis)*time.Millisecond)
	is.Equal(ticket != nil, tt.Kind == "")
	time.Sleep(2 * writeDelay) // until delayed writes have taken effect
	store.faults = nil
	second, err := newClaimer(store).Claim(t.Context(), "kliek-teels", "order-1", digest)
	is.Equal(kindOf(err), tt.Second)
	is.True(ticket == nil || second == nil) // at most one request gets a ticket
	otherDigest := claimer.NewDigest("desk", "POST", "/orders", "", []byte("another"))
	_, err = newClaimer(store).Claim(t.Context(), "kliek-teels", "order-1", otherDigest)
	is.Equal(kindOf(err), tt.Other)
	_, err = newClaimer(store).Claim(t.Context(), "another-firm", "order-1", otherDigest)
	is.NoErr(err) // keys of different organisations are independent
}

// TestConcurrentClaims sends claims of one key from many routers while the store
// loses replies and fails reads.
func TestConcurrentClaims(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &faultyStore{Store: keeper.New(), faults: []storeFault{
			{Call: "put", Kind: "slow_lost", Times: 1},
			{Call: "get", Kind: "down", After: 3, Times: 2},
			{Call: "put", Kind: "lost", After: 4, Times: 3},
		}}
		const claims = 32
		tickets := make(chan *claimer.Ticket, claims)
		var group sync.WaitGroup
		for range claims {
			c := newClaimer(store)
			group.Go(func() {
				ticket, err := c.Claim(t.Context(), "kliek-teels", "order-1", "digest")
				if err == nil {
					tickets <- ticket
				}
			})
		}
		group.Wait()
		is.True(len(tickets) <= 1) // at most one request gets a ticket
	})
}

func TestTicket(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newClaimer(keeper.New())
		ticket, err := c.Claim(t.Context(), "kliek-teels", "order-1", "digest")
		is.NoErr(err)
		is.True(ticket.Valid(time.Now()))
		is.True(!ticket.Valid(time.Now().Add(time.Minute)))          // after the deadline
		is.True(!ticket.Valid(time.Now().Add(time.Minute).Round(0))) // without a monotonic clock reading
		ticket.Release(t.Context())
		_, err = c.Claim(t.Context(), "kliek-teels", "order-1", "digest")
		is.NoErr(err) // a released key can be claimed again
	})
}

// TestClaimRetention checks that a claim costs one write to the store, and that
// the store removes it after a day.
func TestClaimRetention(t *testing.T) {
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
		is.Equal(store.writes, claims+1) // one write per claim and one grant for the shared lease
		time.Sleep(23 * time.Hour)
		_, err := c.Claim(t.Context(), "kliek-teels", "0", "digest")
		is.Equal(kindOf(err), classifier.AlreadyClaimed) // kept for minRetention
		time.Sleep(3 * time.Hour)
		_, err = c.Claim(t.Context(), "kliek-teels", "0", "digest")
		is.NoErr(err) // expired with its lease
	})
}
