package announcer_test

import (
	"context"
	"io"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/announcer"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/standin/keeper"
)

const key = "vms/a"

// countingStore counts reads.
type countingStore struct {
	storer.Store
	reads atomic.Int64
}

func (s *countingStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	s.reads.Add(1)
	return s.Store.Get(ctx, key)
}

// TestEntryIsWritten starts a VM without and with an entry that an earlier process left
// under a lease of its own. The entry must be the new one, also after that lease ends, and
// an absent entry costs no read.
func TestEntryIsWritten(t *testing.T) {
	t.Parallel()
	for _, left := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := &countingStore{Store: keeper.New()}
			if left {
				lease, err := store.Grant(t.Context(), 5*time.Second)
				is.NoErr(err)
				_, err = store.Put(t.Context(), key, []byte("old"), storer.PutOptions{LeaseID: lease.ID})
				is.NoErr(err)
			}
			log := logrus.New()
			log.SetOutput(io.Discard)
			ctx, stop := context.WithCancel(t.Context())
			vm := announcer.VM{Node: "a", AvailabilityZone: "z", PeerAddress: netip.MustParseAddrPort("10.0.0.1:1"), LinkBytesPerSecond: 5, Processors: 0.5}
			go announcer.New(announcer.Config{Store: store, Key: key, VM: vm, Spread: func() time.Duration { return time.Second }, Log: logrus.NewEntry(log)}).Run(ctx)
			time.Sleep(20 * time.Second)
			is.Equal(store.reads.Load() > 0, left)
			entry, err := store.Get(t.Context(), key)
			is.NoErr(err)
			decoded, err := announcer.DecodeVM(entry.Value)
			is.NoErr(err)
			is.Equal(decoded, vm)
			stop()
			time.Sleep(time.Second)
			_, err = store.Get(t.Context(), key)
			is.Equal(err, storer.ErrNotFound)
		})
	}
}
