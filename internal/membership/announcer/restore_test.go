package announcer_test

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/announcer"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/standin/keeper"
)

// restorableStore is a store that states its era in leases and records its writes.
type restorableStore struct {
	*keeper.Keeper

	mu     sync.Mutex
	era    uint64
	writes []time.Time
}

func (s *restorableStore) recordWrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes = append(s.writes, time.Now())
}

func (s *restorableStore) withEra(lease storer.Lease, err error) (storer.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease.Era = s.era
	return lease, err
}

func (s *restorableStore) Grant(ctx context.Context, ttl time.Duration) (storer.Lease, error) {
	s.recordWrite()
	return s.withEra(s.Keeper.Grant(ctx, ttl))
}

func (s *restorableStore) Renew(ctx context.Context, lease storer.Lease) (storer.Lease, error) {
	return s.withEra(s.Keeper.Renew(ctx, lease))
}

func (s *restorableStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	entry, err := s.Keeper.Get(ctx, key)
	s.mu.Lock()
	defer s.mu.Unlock()
	entry.Era = s.era
	return entry, err
}

func (s *restorableStore) Put(ctx context.Context, key string, value []byte, opts storer.PutOptions) (storer.Version, error) {
	s.recordWrite()
	return s.Keeper.Put(ctx, key, value, opts)
}

// restore starts an era with an empty copy.
func (s *restorableStore) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Restore(keeper.New().State())
	s.era++
	s.writes = nil
}

// maxWritesWithin returns the highest number of writes within a time.
func (s *restorableStore) maxWritesWithin(d time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	highest, first := 0, 0
	for n, at := range s.writes {
		for at.Sub(s.writes[first]) >= d {
			first++
		}
		highest = max(highest, n-first+1)
	}
	return highest
}

func startAnnouncer(ctx context.Context, store storer.Store, n int, spread time.Duration) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	go announcer.New(announcer.Config{
		Store:  store,
		Key:    fmt.Sprintf("vms/%03d", n),
		VM:     announcer.VM{Node: fmt.Sprintf("%03d", n), PeerAddress: netip.MustParseAddrPort("10.0.0.1:1")},
		Spread: func() time.Duration { return spread },
		Log:    logrus.NewEntry(log),
	}).Run(ctx)
}

// TestRestoredStoreIsNotFloodedWithEntries guards against VMs that started at the same
// time and all write their lost entries at the same moment, over the store's limit.
func TestRestoredStoreIsNotFloodedWithEntries(t *testing.T) {
	t.Parallel()
	const vms, writesPerSecond = 295, 400
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &restorableStore{Keeper: keeper.New(), era: 1}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		for n := range vms {
			startAnnouncer(ctx, store, n, announcer.Spread(vms, writesPerSecond))
		}
		time.Sleep(10 * time.Second)
		store.restore()
		time.Sleep(announcer.RestoreTTL)
		is.True(store.maxWritesWithin(time.Second) <= writesPerSecond)
		entries, err := store.List(ctx, "vms/")
		is.NoErr(err)
		is.Equal(len(entries), vms)
	})
}

// TestLeaseOfEndedEraIsNotRenewed guards against a VM that renews the lease of another one
// because a restored store has assigned its ID again.
func TestLeaseOfEndedEraIsNotRenewed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &restorableStore{Keeper: keeper.New(), era: 1}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		startAnnouncer(ctx, store, 0, time.Second)
		time.Sleep(5 * time.Second)
		store.restore()
		lease, err := store.Grant(ctx, time.Minute)
		is.NoErr(err)
		is.Equal(lease.ID, uint64(1))
		time.Sleep(announcer.RestoreTTL)
		_, err = store.Get(ctx, "vms/000")
		is.NoErr(err)
	})
}

// TestLeaseOfEndedEraIsNotEnded guards against a VM that stops after a restore and removes
// the entry of another one, whose lease has its ID.
func TestLeaseOfEndedEraIsNotEnded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &restorableStore{Keeper: keeper.New(), era: 1}
		ctx, stop := context.WithCancel(t.Context())
		startAnnouncer(ctx, store, 0, time.Second)
		time.Sleep(5 * time.Second)
		store.restore()
		lease, err := store.Grant(t.Context(), time.Minute)
		is.NoErr(err)
		is.Equal(lease.ID, uint64(1))
		_, err = store.Put(t.Context(), "vms/001", []byte("{}"), storer.PutOptions{LeaseID: lease.ID})
		is.NoErr(err)
		stop()
		time.Sleep(time.Second)
		_, err = store.Get(t.Context(), "vms/001")
		is.NoErr(err) // the entry of the other VM
	})
}

func TestSpread(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.Equal(announcer.Spread(200, 400), 2*time.Second)
	is.Equal(announcer.Spread(0, 400), time.Duration(0))
	is.Equal(announcer.Spread(100_000, 400), 6*time.Second) // the entries are missed after some time
	is.Equal(announcer.Spread(10, 0), 6*time.Second)        // the limit is unknown
}
