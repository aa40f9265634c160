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

var errAway = errors.New("store is away")

// feed is a store whose answers a test sets.
type feed struct {
	mu        sync.Mutex
	away      bool
	gone      bool
	entries   []storer.Entry
	changes   []storer.Change
	snapshots int
	watches   int
}

func (f *feed) Snapshot(context.Context, string) ([]storer.Entry, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshots++
	if f.away {
		return nil, 0, errAway
	}
	return f.entries, 10, nil
}

func (f *feed) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) ([]storer.Change, uint64, error) {
	f.mu.Lock()
	f.watches++
	changes, away, gone := f.changes, f.away, f.gone
	f.changes, f.gone = nil, false
	f.mu.Unlock()
	switch {
	case away:
		return nil, 0, errAway
	case gone:
		return nil, 0, storer.ErrHistoryGone
	case len(changes) > 0:
		return changes, changes[len(changes)-1].Revision, nil
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	return nil, after, nil
}

func (f *feed) set(change func(*feed)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// sink counts what it is told.
type sink struct {
	mu        sync.Mutex
	replaced  int
	applied   []storer.Change
	revisions []uint64
	failures  int
}

func (s *sink) Replace(time.Time, string, []storer.Entry, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaced++
}

func (s *sink) Apply(_ time.Time, _ string, changes []storer.Change, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applied = append(s.applied, changes...)
	s.revisions = append(s.revisions, revision)
}

func (s *sink) Failed(time.Time, string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures++
}

// told returns what the sink was told so far.
func (s *sink) told() (replaced, applied, failures int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replaced, len(s.applied), s.failures
}

// calls returns the calls so far.
func (f *feed) calls() (snapshots, watches int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshots, f.watches
}

func change(key string, revision uint64) storer.Change {
	return storer.Change{Entry: storer.Entry{Key: key, Revision: revision}}
}

func TestFollows(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, s := &feed{}, &sink{}
		ctx, cancel := context.WithCancel(t.Context())
		go follower.New(follower.Config{Feed: f, Prefix: "p/", Sink: s, Wait: 2 * time.Second, Pace: 500 * time.Millisecond}).Run(ctx)
		synctest.Wait()
		replaced, _, _ := s.told()
		is.Equal(replaced, 1)
		f.set(func(f *feed) { f.changes = []storer.Change{change("p/a", 11)} })
		time.Sleep(2100 * time.Millisecond)
		_, applied, _ := s.told()
		is.Equal(applied, 1)
		// Frequent changes come together, each within the pace.
		_, before := f.calls()
		for n := range 20 {
			f.set(func(f *feed) { f.changes = append(f.changes, change("p/a", uint64(20+n))) })
			time.Sleep(100 * time.Millisecond)
		}
		_, watches := f.calls()
		is.True(watches-before <= 6)
		time.Sleep(2 * time.Second)
		_, applied, _ = s.told()
		is.Equal(applied, 21)
		// A dropped history asks for the whole list again.
		f.set(func(f *feed) { f.gone = true })
		time.Sleep(3 * time.Second)
		replaced, _, failures := s.told()
		is.Equal(replaced, 2)
		is.Equal(failures, 0)
		cancel()
	})
}

func TestComesBackGently(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, s := &feed{away: true}, &sink{}
		ctx, cancel := context.WithCancel(t.Context())
		go follower.New(follower.Config{Feed: f, Prefix: "p/", Sink: s, Wait: time.Second}).Run(ctx)
		time.Sleep(30 * time.Second)
		snapshots, _ := f.calls()
		is.True(snapshots >= 20) // it goes on asking
		is.True(snapshots <= 80) // though not often
		replaced, _, _ := s.told()
		is.Equal(replaced, 0)
		f.set(func(f *feed) { f.away = false })
		time.Sleep(1500 * time.Millisecond)
		replaced, _, _ = s.told()
		is.Equal(replaced, 1)
		cancel()
	})
}
