package follower_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/membership/follower"
	"gentianstep.example/gentianstep/internal/platform/storer"
)

var errUnavailable = errors.New("store is unavailable")

// feed is a storer.Feed whose responses are set by a test.
type feed struct {
	mu          sync.Mutex
	unavailable bool
	historyGone bool
	entries     []storer.Entry
	changes     []storer.Change
	snapshots   int
	watches     int
	// after is the version that the last call of Changes continued from.
	after storer.Version
}

func (f *feed) Snapshot(context.Context, string) ([]storer.Entry, storer.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshots++
	if f.unavailable {
		return nil, storer.Version{}, errUnavailable
	}
	return f.entries, storer.Version{Revision: 10}, nil
}

func (f *feed) Changes(ctx context.Context, _ string, after storer.Version, wait time.Duration) ([]storer.Change, storer.Version, error) {
	f.mu.Lock()
	f.watches++
	f.after = after
	changes, unavailable, historyGone := f.changes, f.unavailable, f.historyGone
	f.changes, f.historyGone = nil, false
	f.mu.Unlock()
	switch {
	case unavailable:
		return nil, storer.Version{}, errUnavailable
	case historyGone:
		return nil, storer.Version{}, storer.ErrHistoryGone
	case len(changes) > 0:
		return changes, changes[len(changes)-1].Version(), nil
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return nil, storer.Version{}, ctx.Err()
	}
	return nil, after, nil
}

func (f *feed) set(change func(*feed)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// sink counts the calls and records the changes that it receives.
type sink struct {
	mu       sync.Mutex
	replaced int
	applied  []storer.Change
	versions []storer.Version
	failures int
	// version is the version up to which the sink has the entries.
	version storer.Version
}

func (s *sink) Replace(time.Time, string, []storer.Entry, storer.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaced++
}

func (s *sink) Apply(_ time.Time, _ string, changes []storer.Change, version storer.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applied = append(s.applied, changes...)
	s.versions = append(s.versions, version)
}

func (*sink) HandleCall(time.Time, string, time.Duration) {}

func (s *sink) HandleError(time.Time, string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures++
}

func (s *sink) Version(string) storer.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// counts returns the number of snapshots, changes and errors received so far.
func (s *sink) counts() (replaced, applied, failures int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replaced, len(s.applied), s.failures
}

// calls returns the number of calls of Snapshot and Changes so far.
func (f *feed) calls() (snapshots, watches int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshots, f.watches
}

func change(key string, revision uint64) storer.Change {
	return storer.Change{Entry: storer.Entry{Key: key, Revision: revision}}
}

func TestSnapshotAndChanges(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, s := &feed{}, &sink{}
		ctx, cancel := context.WithCancel(t.Context())
		go follower.New(follower.Config{Feed: f, Prefix: "p/", Sink: s, Wait: 2 * time.Second, CoalesceInterval: 500 * time.Millisecond}).Run(ctx)
		synctest.Wait()
		replaced, _, _ := s.counts()
		is.Equal(replaced, 1)
		f.set(func(f *feed) { f.changes = []storer.Change{change("p/a", 11)} })
		time.Sleep(2100 * time.Millisecond)
		_, applied, _ := s.counts()
		is.Equal(applied, 1)
		// Frequent changes are coalesced: one call per CoalesceInterval returns all of them.
		_, before := f.calls()
		for n := range 20 {
			f.set(func(f *feed) { f.changes = append(f.changes, change("p/a", uint64(20+n))) })
			time.Sleep(100 * time.Millisecond)
		}
		_, watches := f.calls()
		is.True(watches-before <= 6)
		time.Sleep(2 * time.Second)
		_, applied, _ = s.counts()
		is.Equal(applied, 21)
		// A dropped history requires a new snapshot.
		f.set(func(f *feed) { f.historyGone = true })
		time.Sleep(3 * time.Second)
		replaced, _, failures := s.counts()
		is.Equal(replaced, 2)
		is.Equal(failures, 0)
		cancel()
	})
}

func TestBackoffWhileStoreIsUnavailable(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, s := &feed{unavailable: true}, &sink{}
		ctx, cancel := context.WithCancel(t.Context())
		go follower.New(follower.Config{Feed: f, Prefix: "p/", Sink: s, Wait: time.Second}).Run(ctx)
		time.Sleep(30 * time.Second)
		snapshots, _ := f.calls()
		is.True(snapshots >= 20) // keeps retrying
		is.True(snapshots <= 80) // limited by the back-off
		replaced, _, _ := s.counts()
		is.Equal(replaced, 0)
		f.set(func(f *feed) { f.unavailable = false })
		time.Sleep(1500 * time.Millisecond)
		replaced, _, _ = s.counts()
		is.Equal(replaced, 1)
		cancel()
	})
}

// TestSuppliedFollowerCallsNothing has a sink that another VM supplies with changes, at
// first and again later. The store is called in between alone, from the revision that
// the sink has by then.
func TestSuppliedFollowerCallsNothing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, s := &feed{}, &sink{version: storer.Version{Revision: 25}}
		ctx, cancel := context.WithCancel(t.Context())
		var mu sync.Mutex
		until := time.Now().Add(10 * time.Second)
		go follower.New(follower.Config{Feed: f, Prefix: "p/", Sink: s, Wait: time.Second, SuppliedUntil: func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			return until
		}}).Run(ctx)
		time.Sleep(9 * time.Second)
		snapshots, watches := f.calls()
		is.Equal(snapshots, 1)
		is.Equal(watches, 0)
		time.Sleep(2 * time.Second)
		_, watches = f.calls()
		is.True(watches > 0)
		f.set(func(f *feed) { is.Equal(f.after, storer.Version{Revision: 25}) })
		mu.Lock()
		until = time.Now().Add(time.Minute)
		mu.Unlock()
		time.Sleep(2 * time.Second)
		_, before := f.calls()
		time.Sleep(10 * time.Second)
		_, watches = f.calls()
		is.Equal(watches, before)
		cancel()
	})
}
