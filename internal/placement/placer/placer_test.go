package placer_test

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/placement/leaser"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/standin/keeper"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// step is something that happens, and the time after it.
type step struct {
	Publish  string           `json:"publish"`
	Previous string           `json:"previous"`
	Faults   *keeper.Faults   `json:"faults"`
	Crash    *int             `json:"crash"`
	Freeze   bool             `json:"freeze"`
	Thaw     bool             `json:"thaw"`
	Impostor bool             `json:"impostor"`
	For      checker.Duration `json:"for"`
	// Ready is the number of engines with the wanted version at the end, -1
	// where any number will do.
	Ready int    `json:"ready"`
	Late  string `json:"late"`
}

// freezer holds back the renewals of a frozen node.
type freezer struct {
	storer.Store
	mu     sync.Mutex
	frozen chan struct{}
}

func (f *freezer) Renew(ctx context.Context, id uint64) (storer.Lease, error) {
	f.mu.Lock()
	frozen := f.frozen
	f.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	return f.Store.Renew(ctx, id)
}

// impostor believes that it holds the lease with an old fencing number.
type impostor struct{}

func (impostor) Holding(now time.Time) (leaser.Holding, bool) {
	return leaser.Holding{Fencing: 1, Deadline: now.Add(time.Minute)}, true
}

func (b *bench) start(ctx context.Context, s step) {
	if s.Publish != "" {
		b.publish(s.Publish, s.Previous)
	}
	if s.Faults != nil {
		b.faulty.Set(*s.Faults)
	}
	if s.Crash != nil {
		b.mu.Lock()
		b.engines[*s.Crash] = b.newEngine(*s.Crash, 2)
		b.mu.Unlock()
	}
	if s.Impostor {
		b.addNode(ctx, impostor{}, nil, nil)
	}
	for _, n := range b.nodes {
		if n.lease == nil {
			continue
		}
		_, held := n.lease.Holding(time.Now())
		if s.Freeze && held {
			n.freeze(make(chan struct{}))
		}
		if s.Thaw {
			n.thaw()
		}
	}
}

func (n *node) freeze(frozen chan struct{}) {
	n.sender.mu.Lock()
	n.sender.frozen = frozen
	n.sender.mu.Unlock()
	n.store.mu.Lock()
	n.store.frozen = frozen
	n.store.mu.Unlock()
}

func (n *node) thaw() {
	n.store.mu.Lock()
	frozen := n.store.frozen
	n.store.mu.Unlock()
	if frozen != nil {
		n.freeze(nil)
		close(frozen)
	}
}

func (b *bench) run(ctx context.Context, s step) error {
	_, before := b.counts()
	b.start(ctx, s)
	for begin := time.Now(); time.Since(begin) < s.For.Std(); time.Sleep(20 * time.Millisecond) {
		synctest.Wait()
		_, allowed := b.counts()
		if allowed == 0 && before > 0 {
			return fmt.Errorf("the last replica went after %s", time.Since(begin))
		}
		before = allowed
	}
	if most := b.weights.Most(); most > maxLoads && s.Late != "accepted" {
		return fmt.Errorf("%d loads at once", most)
	}
	if wanted, _ := b.counts(); s.Ready >= 0 && wanted != s.Ready {
		return fmt.Errorf("%d engines have the wanted version, want %d", wanted, s.Ready)
	}
	return b.checkLate(s)
}

// checkLate compares what became of the orders that a frozen node sent late.
func (b *bench) checkLate(s step) error {
	if s.Late == "" {
		return nil
	}
	for _, n := range b.nodes {
		n.sender.mu.Lock()
		late := n.sender.late
		n.sender.mu.Unlock()
		for _, outcome := range late {
			if outcome != s.Late {
				return fmt.Errorf("a late order was %s", outcome)
			}
		}
		if len(late) > 0 {
			return nil
		}
	}
	return fmt.Errorf("no order was late")
}

func TestPlacement(t *testing.T) {
	t.Parallel()
	document, err := os.ReadFile("../../bundle/checker/testdata/bundle.json")
	is.New(t).NoErr(err)
	var rows []row
	scripter.Read(t, "testdata/rows.json", &rows)
	for _, r := range rows {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runRow(t, r, document) })
		})
	}
}

func runRow(t *testing.T, r row, document []byte) {
	ctx, stop := context.WithCancel(t.Context())
	b := newBench(t, r, document)
	defer func() {
		for _, n := range b.nodes {
			if n.store != nil {
				n.thaw()
			}
		}
		stop()
		time.Sleep(time.Minute) // lets the holder give its lease up
		b.pipe.Stop()
	}()
	for i := range 2 {
		store := &freezer{Store: b.faulty}
		l := leaser.New(leaser.Config{
			Store: store,
			Key:   leaser.Key("demo", region),
			Node:  fmt.Sprintf("vm-%d", i),
			Terms: func() (leaser.Terms, bool) {
				return leaser.Terms{TTL: 10 * time.Second, OrderTimeout: 5 * time.Second}, true
			},
			Log: b.log,
		})
		go l.Run(ctx)
		b.addNode(ctx, l, l, store)
	}
	for i, s := range r.Steps {
		if err := b.run(ctx, s); err != nil {
			t.Errorf("step %d: %v", i, err)
			return
		}
	}
}
