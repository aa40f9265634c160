package keeper_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/standin/keeper"
)

// TestExpiryReachesWatches guards against watches that learn of the end of a lease only
// at the next call to the store.
func TestExpiryReachesWatches(t *testing.T) {
	t.Parallel()
	const ttl = time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k := keeper.New()
		lease, err := k.Grant(t.Context(), ttl)
		is.NoErr(err)
		version, err := k.Put(t.Context(), "key", nil, storer.PutOptions{LeaseID: lease.ID})
		is.NoErr(err)
		time.Sleep(ttl / 2)
		lease, err = k.Renew(t.Context(), lease)
		is.NoErr(err)
		changes, err := k.Changes("", version.Revision)
		is.NoErr(err)
		is.Equal(len(changes.Found), 0)
		select {
		case <-changes.Next:
		case <-time.After(10 * ttl):
		}
		is.Equal(time.Now(), lease.Deadline)
		changes, err = k.Changes("", version.Revision)
		is.NoErr(err)
		is.Equal(len(changes.Found), 1)
		is.True(changes.Found[0].Removed)
	})
}
