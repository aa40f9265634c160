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
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

const (
	key    = "lease"
	sample = 50 * time.Millisecond
)

// step changes what is wrong and then watches the nodes for a time.
type step struct {
	Faults        *keeper.Faults   `json:"faults"`
	Freeze        bool             `json:"freeze"`
	Thaw          bool             `json:"thaw"`
	Stop          bool             `json:"stop"`
	EndLease      bool             `json:"end_lease"`
	LosePut       bool             `json:"lose_put"`
	Fencing       uint64           `json:"fencing"`
	For           checker.Duration `json:"for"`
	Held          bool             `json:"held"`
	Takeovers     int              `json:"takeovers"`
	OverlapWithin checker.Duration `json:"overlap_within"`
}

// freezer holds the calls of a frozen node back.
type freezer struct {
	storer.Store
	frozen atomic.Pointer[chan struct{}]
	// losePut loses the answer of the next write of a key.
	losePut atomic.Bool
}

func (f *freezer) Put(ctx context.Context, key string, value []byte, opts storer.PutOptions) (uint64, error) {
	revision, err := f.Store.Put(ctx, key, value, opts)
	if err == nil && f.losePut.CompareAndSwap(true, false) {
		return 0, keeper.ErrAnswerLost
	}
	return revision, err
}

func (f *freezer) Renew(ctx context.Context, id uint64) (storer.Lease, error) {
	if frozen := f.frozen.Load(); frozen != nil {
		<-*frozen
	}
	return f.Store.Renew(ctx, id)
}

type node struct {
	leaser *leaser.Leaser
	store  *freezer
	stop   context.CancelFunc
}

type bench struct {
	inner    *keeper.Keeper
	faulty   *keeper.Faulty
	nodes    []*node
	fencings map[uint64]bool
	highest  uint64
}

func newBench(ctx context.Context, nodes int) *bench {
	log := logrus.New()
	log.SetOutput(io.Discard)
	b := &bench{inner: keeper.New(), fencings: make(map[uint64]bool)}
	b.faulty = keeper.NewFaulty(b.inner)
	for i := range nodes {
		n := &node{store: &freezer{Store: b.faulty}}
		n.leaser = leaser.New(leaser.Config{
			Store: n.store,
			Key:   key,
			Node:  fmt.Sprintf("vm-%d", i),
			Terms: func() (leaser.Terms, bool) {
				return leaser.Terms{TTL: 10 * time.Second, OrderTimeout: 5 * time.Second}, true
			},
			Log: logrus.NewEntry(log),
		})
		var nodeCtx context.Context
		nodeCtx, n.stop = context.WithCancel(ctx)
		go n.leaser.Run(nodeCtx)
		b.nodes = append(b.nodes, n)
	}
	return b
}

// holders returns the nodes that hold the lease now.
func (b *bench) holders() []*node {
	var holders []*node
	for _, n := range b.nodes {
		if h, ok := n.leaser.Holding(time.Now()); ok {
			holders = append(holders, n)
			b.fencings[h.Fencing] = true
			b.highest = max(b.highest, h.Fencing)
		}
	}
	return holders
}

func (b *bench) start(ctx context.Context, s step) error {
	if s.Faults != nil {
		b.faulty.Set(*s.Faults)
	}
	for _, n := range b.nodes {
		n.store.losePut.Store(s.LosePut)
	}
	for _, n := range b.holders() {
		switch {
		case s.Freeze:
			frozen := make(chan struct{})
			n.store.frozen.Store(&frozen)
		case s.Stop:
			n.stop()
			synctest.Wait()
			if _, err := b.inner.Get(ctx, key); err == nil {
				return fmt.Errorf("a holder that stopped did not give its lease up")
			}
		}
	}
	if s.Thaw {
		for _, n := range b.nodes {
			if frozen := n.store.frozen.Load(); frozen != nil {
				close(*frozen)
			}
		}
	}
	if !s.EndLease {
		return nil
	}
	entry, err := b.inner.Get(ctx, key)
	if err != nil {
		return err
	}
	return b.inner.Revoke(ctx, entry.LeaseID)
}

func (b *bench) run(ctx context.Context, s step) error {
	if err := b.start(ctx, s); err != nil {
		return err
	}
	begin := time.Now()
	overlapEnds := begin.Add(s.OverlapWithin.Std())
	for time.Since(begin) < s.For.Std() {
		time.Sleep(sample)
		synctest.Wait()
		holders := b.holders()
		if time.Now().Before(overlapEnds) {
			continue
		}
		if len(holders) > 1 {
			return fmt.Errorf("%d holders after %s", len(holders), time.Since(begin))
		}
		if len(holders) == 1 {
			if _, err := b.inner.Get(ctx, key); err != nil {
				return fmt.Errorf("held after %s while the store's lease has ended", time.Since(begin))
			}
		}
	}
	if held := len(b.holders()) == 1; held != s.Held {
		return fmt.Errorf("held is %t, want %t", held, s.Held)
	}
	if s.Takeovers > 0 && len(b.fencings) != s.Takeovers {
		return fmt.Errorf("got fencing numbers %v, want %d of them", b.fencings, s.Takeovers)
	}
	if s.Fencing > 0 && b.highest != s.Fencing {
		return fmt.Errorf("got fencing number %d, want %d", b.highest, s.Fencing)
	}
	for _, n := range b.holders() {
		if h, _ := n.leaser.Holding(time.Now()); h.Fencing != b.highest {
			return fmt.Errorf("fencing number %d after %d", h.Fencing, b.highest)
		}
	}
	return nil
}

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
				b := newBench(t.Context(), 3)
				for i, s := range row.Steps {
					if err := b.run(t.Context(), s); err != nil {
						t.Fatalf("step %d: %v", i, err)
					}
				}
				for _, n := range b.nodes {
					n.stop()
				}
				time.Sleep(time.Minute) // lets the holder give its lease up
			})
		})
	}
}

func TestHoldingEndsAtItsDeadline(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Now()
	h := leaser.Holding{Fencing: 1, Deadline: now.Add(time.Minute)}
	is.True(h.Valid(now))
	is.True(!h.Valid(now.Add(time.Minute)))
	is.True(!h.Valid(now.Round(0).Add(time.Minute))) // a time without the monotonic clock
	is.True(!leaser.Holding{Deadline: h.Deadline}.Valid(now))
}
