package leaser_test

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/placement/leaser"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/standin/keeper"
	"gentianstep.example/gentianstep/internal/testing/clocker"
)

// eraStore states the era of a store in its results.
type eraStore struct {
	storer.Store
	era *atomic.Uint64
}

// Get implements storer.Store.
func (s eraStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	entry, err := s.Store.Get(ctx, key)
	entry.Era = s.era.Load()
	return entry, err
}

// Put implements storer.Store.
func (s eraStore) Put(ctx context.Context, key string, value []byte, opts storer.PutOptions) (storer.Version, error) {
	version, err := s.Store.Put(ctx, key, value, opts)
	version.Era = s.era.Load()
	return version, err
}

// Grant implements storer.Store.
func (s eraStore) Grant(ctx context.Context, ttl time.Duration) (storer.Lease, error) {
	lease, err := s.Store.Grant(ctx, ttl)
	lease.Era = s.era.Load()
	return lease, err
}

// Renew implements storer.Store.
func (s eraStore) Renew(ctx context.Context, granted storer.Lease) (storer.Lease, error) {
	lease, err := s.Store.Renew(ctx, granted)
	lease.Era = s.era.Load()
	return lease, err
}

// fencingNumber returns the fencing number of a version.
func fencingNumber(era, revision uint64) uint64 {
	n, err := leaser.FencingNumber(storer.Version{Era: era, Revision: revision})
	if err != nil {
		panic(err)
	}
	return n
}

func TestFencingNumbersIncreaseAcrossEras(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.Equal(fencingNumber(0, 4711), uint64(4711)) // the revision for a store without eras
	const mostRevisions = 1<<37 - 1
	const mostEras = 1<<16 - 1
	last := uint64(0)
	for _, v := range []storer.Version{
		{Revision: 4711}, {Revision: mostRevisions}, {Era: 1, Revision: 1}, {Era: 1, Revision: 2},
		{Era: 1, Revision: mostRevisions}, {Era: 2, Revision: 1}, {Era: mostEras, Revision: mostRevisions},
	} {
		n := fencingNumber(v.Era, v.Revision)
		is.True(n > last)
		last = n
	}
	const mostExact = 1 << 53 // integers up to it are exact in floating point
	is.True(last < mostExact)
	_, err := leaser.FencingNumber(storer.Version{Revision: mostRevisions + 1})
	is.True(err != nil)
	// A store may state any first era.
	const firstEra = 1_700_000_000
	is.True(fencingNumber(firstEra, mostRevisions) <= mostExact)
	is.True(fencingNumber(firstEra+1, 1) > fencingNumber(firstEra, mostRevisions))
}

// TestReleaseEndsNoOtherLease guards against a holder that gives up its lease after a
// restore and ends that of another node, which has its ID.
func TestReleaseEndsNoOtherLease(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		inner := keeper.New()
		store := eraStore{Store: inner, era: &atomic.Uint64{}}
		store.era.Store(1)
		log := logrus.New()
		log.SetOutput(io.Discard)
		l := leaser.New(leaser.Config{
			SinceBoot: clocker.SinceBoot,
			Store:     store, Key: "weights", Node: "a", Log: logrus.NewEntry(log),
			Durations: func() (leaser.Durations, bool) {
				return leaser.Durations{TTL: 2 * time.Second, OrderTimeout: time.Second}, true
			},
		})
		go l.Run(ctx)
		time.Sleep(5 * time.Second)
		_, held := l.Holding(time.Now())
		is.True(held)
		inner.Restore(keeper.New().State())
		store.era.Store(2)
		lease, err := store.Grant(ctx, time.Minute)
		is.NoErr(err)
		is.Equal(lease.ID, uint64(1))
		_, err = store.Put(ctx, "vms/b", []byte("{}"), storer.PutOptions{LeaseID: lease.ID})
		is.NoErr(err)
		time.Sleep(5 * time.Second)
		_, err = store.Get(ctx, "vms/b")
		is.NoErr(err) // the entry of the other node
		stop()
		synctest.Wait()
	})
}

// restoringStore is restored right after the first lease was granted. Another node is
// granted a lease with its ID.
type restoringStore struct {
	eraStore
	inner    *keeper.Keeper
	restored *atomic.Bool
}

func (s restoringStore) Grant(ctx context.Context, ttl time.Duration) (storer.Lease, error) {
	lease, err := s.eraStore.Grant(ctx, ttl)
	if err != nil || s.restored.Swap(true) {
		return lease, err
	}
	s.inner.Restore(keeper.New().State())
	s.era.Add(1)
	other, err := s.eraStore.Grant(ctx, time.Minute)
	if err != nil || other.ID != lease.ID {
		return storer.Lease{}, errors.Join(errors.New("lease of the other node has another ID"), err)
	}
	_, err = s.Put(ctx, "vms/b", []byte("{}"), storer.PutOptions{LeaseID: other.ID})
	return lease, err
}

// TestKeyIsNotLeftUnderOtherLease guards against a lease key that is bound to the lease of
// another node, granted under the same ID after a restore: it must neither stay for as long
// as that lease nor be removed by ending it.
func TestKeyIsNotLeftUnderOtherLease(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		inner := keeper.New()
		store := restoringStore{eraStore: eraStore{Store: inner, era: &atomic.Uint64{}}, inner: inner, restored: &atomic.Bool{}}
		store.era.Store(1)
		log := logrus.New()
		log.SetOutput(io.Discard)
		l := leaser.New(leaser.Config{
			SinceBoot: clocker.SinceBoot,
			Store:     store, Key: "weights", Node: "a", Log: logrus.NewEntry(log),
			Durations: func() (leaser.Durations, bool) {
				return leaser.Durations{TTL: 2 * time.Second, OrderTimeout: time.Second}, true
			},
		})
		go l.Run(ctx)
		time.Sleep(10 * time.Second)
		_, err := store.Get(ctx, "vms/b")
		is.NoErr(err) // the entry of the other node
		_, held := l.Holding(time.Now())
		is.True(held)
		stop()
		synctest.Wait()
	})
}
