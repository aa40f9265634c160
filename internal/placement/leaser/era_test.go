package leaser_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/placement/leaser"
	"gentianstep.example/gentianstep/internal/platform/storer"
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
func (s eraStore) Renew(ctx context.Context, id uint64) (storer.Lease, error) {
	lease, err := s.Store.Renew(ctx, id)
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
