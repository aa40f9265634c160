package informer_test

import (
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/platform"
)

// TestVMsAreCountedAfterRestore guards against VMs that take themselves for the only one
// because a restored store has lost the entries under leases.
func TestVMsAreCountedAfterRestore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		i := informer.New(informer.Config{
			Codec: platform.Codec{}, OperatorPrefix: platform.OperatorPrefix, UpstreamPrefix: platform.UpstreamPrefix,
			VMPrefix: "own/", RetainPrefix: "own/vms/", RetainFor: 10 * time.Second, Log: logrus.NewEntry(log),
		})
		go i.Run(t.Context())
		keys := func() []string {
			entries := i.VMs()
			keys := make([]string, 0, len(entries))
			for _, e := range entries {
				keys = append(keys, e.Key)
			}
			slices.Sort(keys)
			return keys
		}
		entry := func(key string, era, revision uint64) storer.Entry {
			return storer.Entry{Key: key, Era: era, Revision: revision}
		}
		before, after := storer.Version{Era: 1, Revision: 100}, storer.Version{Era: 2, Revision: 50}
		i.Replace(time.Now(), "own/", []storer.Entry{entry("own/vms/a", 1, 90), entry("own/vms/b", 1, 91), entry("own/vms/c", 1, 92), entry("own/weights", 1, 93)}, before)
		i.Replace(time.Now(), "own/", nil, after)
		is.Equal(keys(), []string{"own/vms/a", "own/vms/b", "own/vms/c"}) // the lease for roll-outs has ended
		is.Equal(len(i.NewerReplicas(informer.Versions{"own/": before})[0].Entries), 0)
		changes := i.ChangeCount("own/")
		i.Apply(time.Now(), "own/", []storer.Change{{Entry: entry("own/vms/a", 2, 51)}}, storer.Version{Era: 2, Revision: 51})
		time.Sleep(5 * time.Second)
		i.Replace(time.Now(), "own/", []storer.Entry{entry("own/vms/b", 3, 52)}, storer.Version{Era: 3, Revision: 52})
		is.Equal(keys(), []string{"own/vms/a", "own/vms/b", "own/vms/c"})
		i.Apply(time.Now(), "own/", []storer.Change{{Entry: entry("own/vms/a", 3, 53)}}, storer.Version{Era: 3, Revision: 53})
		i.Apply(time.Now(), "own/", []storer.Change{{Entry: entry("own/vms/a", 3, 54), Removed: true}}, storer.Version{Era: 3, Revision: 54})
		is.Equal(keys(), []string{"own/vms/b", "own/vms/c"})
		time.Sleep(11 * time.Second)
		is.Equal(keys(), []string{"own/vms/b"}) // c has not written its entry again
		is.True(i.ChangeCount("own/") > changes)
	})
}
