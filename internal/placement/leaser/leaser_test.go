package leaser_test

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/placement/leaser"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/standin/keeper"
	"gentianstep.example/gentianstep/internal/testing/clocker"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

const (
	key            = "lease"
	sampleInterval = 50 * time.Millisecond
)

// step injects or clears faults and then checks the nodes for a period.
type step struct {
	Faults   *keeper.Faults `json:"faults"`
	Pause    bool           `json:"freeze"`
	Resume   bool           `json:"thaw"`
	Stop     bool           `json:"stop"`
	EndLease bool           `json:"end_lease"`
	LosePut  bool           `json:"lose_put"`
	// Backup copies the state of the store, Restore restores the last copy.
	Backup        bool             `json:"backup"`
	Restore       bool             `json:"restore"`
	Revision      uint64           `json:"revision"`
	For           checker.Duration `json:"for"`
	Held          bool             `json:"held"`
	Takeovers     int              `json:"takeovers"`
	OverlapWithin checker.Duration `json:"overlap_within"`
	// EndsWithin is how long a node may hold a lease that the store has lost.
	EndsWithin checker.Duration `json:"ends_within"`
}

// pausableStore blocks the renewals of a paused node.
type pausableStore struct {
	storer.Store
	paused atomic.Pointer[chan struct{}]
	// hangNextRenewal makes the next renewal get no response.
	hangNextRenewal atomic.Bool
	// loseNextPut drops the response to the next Put that succeeds.
	loseNextPut atomic.Bool
}

func (s *pausableStore) Put(ctx context.Context, key string, value []byte, opts storer.PutOptions) (storer.Version, error) {
	version, err := s.Store.Put(ctx, key, value, opts)
	if err == nil && s.loseNextPut.CompareAndSwap(true, false) {
		return storer.Version{}, keeper.ErrResponseLost
	}
	return version, err
}

func (s *pausableStore) Renew(ctx context.Context, lease storer.Lease) (storer.Lease, error) {
	if paused := s.paused.Load(); paused != nil {
		<-*paused
	}
	if s.hangNextRenewal.CompareAndSwap(true, false) {
		<-ctx.Done()
		return storer.Lease{}, ctx.Err()
	}
	return s.Store.Renew(ctx, lease)
}

type node struct {
	leaser *leaser.Leaser
	store  *pausableStore
	stop   context.CancelFunc
}

type cluster struct {
	inner    *keeper.Keeper
	faulty   *keeper.Faulty
	nodes    []*node
	era      atomic.Uint64
	backup   keeper.State
	fencings map[uint64]*node
	highest  uint64
	// fault is the first violation of the order of fencing numbers.
	fault error
}

func newCluster(ctx context.Context, nodes int) *cluster {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := &cluster{inner: keeper.New(), fencings: make(map[uint64]*node)}
	c.era.Store(1)
	c.faulty = keeper.NewFaulty(c.inner)
	for i := range nodes {
		n := &node{store: &pausableStore{Store: eraStore{c.faulty, &c.era}}}
		n.leaser = leaser.New(leaser.Config{
			SinceBoot: clocker.SinceBoot,
			Store:     n.store,
			Key:       key,
			Node:      fmt.Sprintf("vm-%d", i),
			Durations: func() (leaser.Durations, bool) {
				return leaser.Durations{TTL: 10 * time.Second, OrderTimeout: 5 * time.Second}, true
			},
			Log: logrus.NewEntry(log),
		})
		var nodeCtx context.Context
		nodeCtx, n.stop = context.WithCancel(ctx)
		go n.leaser.Run(nodeCtx)
		c.nodes = append(c.nodes, n)
	}
	return c
}

// holders returns the nodes that currently hold the lease and records their
// fencing numbers.
func (c *cluster) holders() []*node {
	var holders []*node
	for _, n := range c.nodes {
		if lease, ok := n.leaser.Holding(time.Now()); ok {
			holders = append(holders, n)
			owner, known := c.fencings[lease.Fencing]
			switch {
			case known && owner != n && c.fault == nil:
				c.fault = fmt.Errorf("two nodes have fencing number %d", lease.Fencing)
			case !known && lease.Fencing < c.highest && c.fault == nil:
				c.fault = fmt.Errorf("new holder has fencing number %d, a higher one was issued: %d", lease.Fencing, c.highest)
			}
			c.fencings[lease.Fencing] = n
			c.highest = max(c.highest, lease.Fencing)
		}
	}
	return holders
}

func (c *cluster) start(ctx context.Context, s step) error {
	if s.Faults != nil {
		c.faulty.Set(*s.Faults)
	}
	for _, n := range c.nodes {
		n.store.loseNextPut.Store(s.LosePut)
	}
	for _, n := range c.holders() {
		switch {
		case s.Pause:
			paused := make(chan struct{})
			n.store.paused.Store(&paused)
		case s.Stop:
			n.stop()
			synctest.Wait()
			if _, err := c.inner.Get(ctx, key); err == nil {
				return fmt.Errorf("holder stopped without releasing its lease")
			}
		}
	}
	if s.Resume {
		for _, n := range c.nodes {
			if paused := n.store.paused.Load(); paused != nil {
				close(*paused)
			}
		}
	}
	if s.Backup {
		c.backup = c.inner.State()
	}
	if s.Restore {
		c.inner.Restore(c.backup)
		c.era.Add(1)
	}
	if !s.EndLease {
		return nil
	}
	entry, err := c.inner.Get(ctx, key)
	if err != nil {
		return err
	}
	return c.inner.Revoke(ctx, storer.Lease{ID: entry.LeaseID})
}

func (c *cluster) run(ctx context.Context, s step) error {
	if err := c.start(ctx, s); err != nil {
		return err
	}
	begin := time.Now()
	overlapEnds := begin.Add(s.OverlapWithin.Std())
	for time.Since(begin) < s.For.Std() {
		time.Sleep(sampleInterval)
		synctest.Wait()
		holders := c.holders()
		if c.fault != nil {
			return c.fault
		}
		if time.Now().Before(overlapEnds) {
			continue
		}
		if len(holders) > 1 {
			return fmt.Errorf("got %d holders after %s, want at most 1", len(holders), time.Since(begin))
		}
		if len(holders) == 1 && time.Since(begin) > s.EndsWithin.Std() {
			if _, err := c.inner.Get(ctx, key); err != nil {
				return fmt.Errorf("a node holds the lease after %s although it has ended in the store", time.Since(begin))
			}
		}
	}
	return c.checkEnd(s)
}

// checkEnd checks the state at the end of a step.
func (c *cluster) checkEnd(s step) error {
	if held := len(c.holders()) == 1; held != s.Held {
		return fmt.Errorf("lease held: got %t, want %t", held, s.Held)
	}
	if s.Takeovers > 0 && len(c.fencings) != s.Takeovers {
		return fmt.Errorf("got fencing numbers %v, want %d distinct numbers", c.fencings, s.Takeovers)
	}
	if s.Revision > 0 && c.highest != fencingNumber(c.era.Load(), s.Revision) {
		return fmt.Errorf("got highest fencing number %d, want that of revision %d", c.highest, s.Revision)
	}
	for _, n := range c.holders() {
		if lease, _ := n.leaser.Holding(time.Now()); lease.Fencing != c.highest {
			return fmt.Errorf("holder has fencing number %d, a higher one was issued: %d", lease.Fencing, c.highest)
		}
	}
	return nil
}

// TestOneNodeHoldsTheLease injects faults of the store and of nodes. At most
// one node may hold the lease at a time, none after it has ended in the store,
// and fencing numbers must increase.
func TestOneNodeHoldsTheLease(t *testing.T) {
	t.Parallel()
	var rows []struct {
		Name  string `json:"name"`
		Steps []step `json:"steps"`
	}
	scripter.Read(t, "testdata/rows.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t.Context(), 3)
				for i, s := range row.Steps {
					if err := c.run(t.Context(), s); err != nil {
						t.Fatalf("step %d: %v", i, err)
					}
				}
				for _, n := range c.nodes {
					n.stop()
				}
				time.Sleep(time.Minute) // time for the holder to release its lease
			})
		})
	}
}

func TestLeaseExpiresAtDeadline(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Now()
	lease := leaser.Lease{Fencing: 1, Deadline: now.Add(time.Minute)}
	is.True(lease.Valid(now))
	is.True(!lease.Valid(now.Add(time.Minute)))
	is.True(!lease.Valid(now.Round(0).Add(time.Minute))) // wall clock only, without a monotonic reading
	is.True(!leaser.Lease{Deadline: lease.Deadline}.Valid(now))
}

// TestFreeLeaseIsLeftToBetterNodes has nodes that wait for different times before they
// try a free lease. The one that waits least of those that live holds it.
func TestFreeLeaseIsLeftToBetterNodes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		store := keeper.New()
		delays := []time.Duration{4 * time.Second, 2 * time.Second, 0}
		leasers := make([]*leaser.Leaser, 0, len(delays))
		stops := make([]context.CancelFunc, 0, len(delays))
		for i, delay := range delays {
			l := leaser.New(leaser.Config{
				SinceBoot: clocker.SinceBoot,
				Store:     store,
				Key:       key,
				Node:      fmt.Sprintf("vm-%d", i),
				Durations: func() (leaser.Durations, bool) {
					return leaser.Durations{TTL: 2 * time.Second, OrderTimeout: time.Second}, true
				},
				Held: func() (storer.Version, bool) {
					entry, err := store.Get(t.Context(), key)
					return entry.Version(), err == nil
				},
				AcquireDelay: func() time.Duration { return delay },
				Log:          logrus.NewEntry(log),
			})
			ctx, stop := context.WithCancel(t.Context())
			go l.Run(ctx)
			leasers, stops = append(leasers, l), append(stops, stop)
		}
		for i := len(leasers) - 1; i >= 0; i-- {
			time.Sleep(20 * time.Second)
			for j, l := range leasers {
				_, held := l.Holding(time.Now())
				is.Equal(held, i == j)
			}
			stops[i]()
		}
	})
}

// TestHungRenewalIsRepeated makes one renewal hang until its timeout, as on a connection
// that has become silent. The lease must not end, since a second renewal succeeds.
func TestHungRenewalIsRepeated(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t.Context(), 1)
		time.Sleep(20 * time.Second)
		is.Equal(len(c.holders()), 1)
		c.nodes[0].store.hangNextRenewal.Store(true)
		time.Sleep(20 * time.Second)
		is.Equal(len(c.holders()), 1)
		is.Equal(len(c.fencings), 1)
		c.nodes[0].stop()
		time.Sleep(time.Minute)
	})
}
