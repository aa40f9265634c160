package informer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/platform"
)

const lateKey = "servers/a"

func lateEntry(revision uint64) storer.Entry {
	return storer.Entry{Key: lateKey, Value: []byte("{}"), Revision: revision}
}

func at(revision uint64) storer.Version { return storer.Version{Revision: revision} }

// TestLateChangesRestoreNoEntry guards against an entry that comes back for good: the
// response to a watch arrives after a relay has told that its entry was removed. The next
// watch starts at the version of the relay.
func TestLateChangesRestoreNoEntry(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	i, now := newInformer(), time.Now()
	put := storer.Change{Entry: lateEntry(8)}
	removal := storer.Change{Entry: storer.Entry{Key: lateKey, Revision: 9}, Removed: true}
	i.Replace(now, platform.UpstreamPrefix, nil, at(5))
	is.True(i.ApplyUpdate(now, informer.Update{Prefix: platform.UpstreamPrefix, Revision: 10, Changes: []storer.Change{put, removal}}))
	i.Apply(now, platform.UpstreamPrefix, []storer.Change{put}, at(8))
	_, found := i.Entry(lateKey)
	is.True(!found)
	is.Equal(i.Version(platform.UpstreamPrefix), at(10))
}

// TestReplicaKeepsEntriesAfterItsVersion guards against an entry that vanishes. A
// snapshot of several pages has the version of its first page, and may have later
// entries, which a replica between those versions lacks.
func TestReplicaKeepsEntriesAfterItsVersion(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	i, now := newInformer(), time.Now()
	i.Replace(now, platform.UpstreamPrefix, []storer.Entry{lateEntry(7)}, at(5))
	i.ApplyReplica(now, informer.Replica{Prefix: platform.UpstreamPrefix, Revision: 6})
	_, found := i.Entry(lateKey)
	is.True(found)
	i.ApplyReplica(now, informer.Replica{Prefix: platform.UpstreamPrefix, Revision: 8})
	_, found = i.Entry(lateKey)
	is.True(!found) // removed at revision 8
}
