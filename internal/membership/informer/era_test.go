package informer_test

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/testing/piper"
	"gentianstep.example/gentianstep/platform"
	"gentianstep.example/gentianstep/platform/platformtest"
)

var testTime = time.Unix(1_700_000_000, 0)

func newInformer() *informer.Informer {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return informer.New(informer.Config{
		Codec:          platform.Codec{},
		OperatorPrefix: platform.OperatorPrefix,
		UpstreamPrefix: platform.UpstreamPrefix,
		VMPrefix:       "own/",
		Log:            logrus.NewEntry(log),
	})
}

func weightsEntry(version storer.Version, value string) storer.Entry {
	return storer.Entry{Key: "op/version/m", Value: []byte(value), Era: version.Era, Revision: version.Revision}
}

// TestLowerRevisionsOfNewEra guards against snapshots that are dropped because the store
// had assigned their revisions before.
func TestLowerRevisionsOfNewEra(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	i := newInformer()
	states := []struct {
		version storer.Version
		value   string
		want    uint64
	}{
		{storer.Version{Era: 1, Revision: 100}, `{"model":"m","version":1}`, 1},
		{storer.Version{Era: 2, Revision: 95}, `{"model":"m","version":2}`, 2},
		{storer.Version{Era: 1, Revision: 120}, `{"model":"m","version":9}`, 2}, // under way since the era before
		{storer.Version{Era: 4, Revision: 40}, `{"model":"m","version":3}`, 3},  // two restores
		{storer.Version{Era: 5, Revision: 30}, `{"model":"m","version":2}`, 3},  // the copy is older than the weights
		{storer.Version{Era: 5, Revision: 31}, `{"model":"m","version":4}`, 4},
	}
	for _, s := range states {
		i.Replace(testTime, platform.OperatorPrefix, []storer.Entry{weightsEntry(s.version, s.value)}, s.version)
		is.Equal(i.DesiredWeights()["m"].Version, s.want)
	}
}

// TestVMsOfBuildWithoutEras guards against messages of VMs that know no eras being taken
// for newer ones, and against failing on them.
func TestVMsOfBuildWithoutEras(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	version := storer.Version{Era: 2, Revision: 50}
	entry := weightsEntry(version, `{"model":"m","version":2}`)
	i := newInformer()
	i.Replace(testTime, platform.OperatorPrefix, []storer.Entry{entry}, version)
	old := weightsEntry(storer.Version{Revision: 100}, `{"model":"m","version":7}`)
	is.True(!i.ApplyUpdate(testTime, informer.Update{
		Prefix: platform.OperatorPrefix, Revision: 100, Complete: true, Keys: []string{old.Key},
		Changes: []storer.Change{{Entry: old}},
	}))
	i.ApplyReplica(testTime, informer.Replica{Prefix: platform.OperatorPrefix, Revision: 100, Entries: []storer.Entry{old}})
	is.Equal(i.DesiredWeights()["m"].Version, uint64(2))
	is.Equal(i.Version(platform.OperatorPrefix), version)
	is.Equal(len(i.NewerReplicas(informer.JoinVersions(map[string]uint64{platform.OperatorPrefix: 100}, nil))), 1)
	// A store that states no era leaves all as it was.
	without := newInformer()
	without.ApplyReplica(testTime, informer.Replica{Prefix: platform.OperatorPrefix, Revision: 100, Entries: []storer.Entry{old}})
	is.Equal(without.DesiredWeights()["m"].Version, uint64(7))
}

// TestRestoredContentIsNotSentAgain guards against links that are filled with entries that
// a restore of the store has left as they were.
func TestRestoredContentIsNotSentAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	source, behind := newInformer(), newInformer()
	first, second := storer.Version{Era: 1, Revision: 100}, storer.Version{Era: 2, Revision: 90}
	same, changed := weightsEntry(first, `{"model":"m","version":1}`), storer.Entry{Key: "op/version/n", Value: []byte(`{"model":"n","version":1}`), Era: 1, Revision: 99}
	lost := storer.Entry{Key: "op/version/o", Value: []byte(`{"model":"o","version":1}`), Era: 1, Revision: 98}
	source.Replace(testTime, platform.OperatorPrefix, []storer.Entry{same, changed, lost}, first)
	updates, position := source.Updates(testTime, nil, nil)
	is.True(behind.ApplyUpdate(testTime, updates[0]))
	before := same
	same.Era, same.Revision = 2, 89
	changed.Era, changed.Revision, changed.Value = 2, 90, []byte(`{"model":"n","version":2}`)
	source.Replace(testTime, platform.OperatorPrefix, []storer.Entry{same, changed}, second)
	updates, _ = source.Updates(testTime, position, behind.Versions())
	is.Equal(len(updates[0].Changes), 2) // the changed entry and the removal
	is.True(behind.ApplyUpdate(testTime, updates[0]))
	is.Equal(behind.Version(platform.OperatorPrefix), second)
	is.Equal(behind.DesiredWeights()["n"].Version, uint64(2))
	_, ok := behind.Entry(lost.Key)
	is.True(!ok)
	// A VM that has changes of the old era which the relay never had lets go of them too.
	ahead := newInformer()
	newer := storer.Entry{Key: "op/version/p", Value: []byte(`{"model":"p","version":1}`), Era: 1, Revision: 110}
	ahead.Replace(testTime, platform.OperatorPrefix, []storer.Entry{before, newer}, storer.Version{Era: 1, Revision: 110})
	is.True(ahead.ApplyUpdate(testTime, updates[0]))
	_, ok = ahead.Entry(newer.Key)
	is.True(!ok)
}

// TestVMInNewEraBeforeItsRelay guards against an entry that a VM has from the restored copy,
// and that stays although it was written again as the relay had it before the restore.
func TestVMInNewEraBeforeItsRelay(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	source, ahead := newInformer(), newInformer()
	written := storer.Entry{Key: "op/version/n", Value: []byte(`{"model":"n","version":2}`), Era: 1, Revision: 99}
	older := storer.Entry{Key: written.Key, Value: []byte(`{"model":"n","version":1}`), Era: 2, Revision: 20}
	source.Replace(testTime, platform.OperatorPrefix, []storer.Entry{written}, storer.Version{Era: 1, Revision: 100})
	_, position := source.Updates(testTime, nil, nil)
	ahead.Replace(testTime, platform.OperatorPrefix, []storer.Entry{older}, storer.Version{Era: 2, Revision: 30})
	written.Era, written.Revision = 2, 40
	source.Replace(testTime, platform.OperatorPrefix, []storer.Entry{written}, storer.Version{Era: 2, Revision: 45})
	updates, _ := source.Updates(testTime, position, nil)
	is.True(!ahead.ApplyUpdate(testTime, updates[0]))
	updates, _ = source.Updates(testTime, nil, ahead.Versions())
	is.True(ahead.ApplyUpdate(testTime, updates[0]))
	entry, _ := ahead.Entry(written.Key)
	is.Equal(entry.Value, written.Value)
}

// TestUpstreamsAfterRestore guards against upstreams that come back because a restored
// copy of the store still lists them as ready, and against ones that are dropped because
// the copy lacks them.
func TestUpstreamsAfterRestore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network, store := piper.New(), platformtest.NewStore()
		defer network.Close()
		store.StartEra(1)
		leaving, gone, joined := platformtest.NewWorker("leaving"), platformtest.NewWorker("gone"), platformtest.NewWorker("joined")
		entry := leaving.Entry("s", "10.1.0.1:80", "z", 4)
		store.Put(leaving.Key(), entry)
		store.Put(gone.Key(), gone.Entry("s", "10.1.0.2:80", "z", 4))
		v := startVM(t, network, store, 0, 1)
		defer v.stop()
		time.Sleep(time.Second)
		older := store.Copy()
		entry["state"] = "draining"
		store.Put(leaving.Key(), entry)
		store.Remove(gone.Key())
		store.Put(joined.Key(), joined.Entry("s", "10.1.0.3:80", "z", 4))
		usable := func() []string {
			upstreams := v.informer.Usable("s")
			ids := make([]string, 0, len(upstreams))
			for _, u := range upstreams {
				ids = append(ids, u.ID)
			}
			return ids
		}
		time.Sleep(time.Second)
		is.Equal(usable(), []string{"joined"})
		store.Restore(older, time.Second)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(usable(), []string{"joined"})
		store.Put(joined.Key(), joined.Entry("s", "10.1.0.3:80", "z", 4))
		time.Sleep(5 * time.Second)
		is.Equal(usable(), []string{"joined"})
		store.Put(gone.Key(), gone.Entry("s", "10.1.0.2:80", "z", 5)) // written again: it is back
		time.Sleep(time.Second)
		is.Equal(usable(), []string{"gone", "joined"})
	})
}
