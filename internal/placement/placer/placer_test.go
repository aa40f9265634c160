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
	"gentianstep.example/gentianstep/internal/testing/clocker"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// step is an event and the time for which the region is checked after it.
type step struct {
	Publish     string           `json:"publish"`
	Previous    string           `json:"previous"`
	Faults      *keeper.Faults   `json:"faults"`
	Crash       *int             `json:"crash"`
	Pause       bool             `json:"freeze"`
	Resume      bool             `json:"thaw"`
	StaleHolder bool             `json:"impostor"`
	For         checker.Duration `json:"for"`
	// Ready is the expected number of engines with the wanted version at the
	// end, or -1 for any number.
	Ready int `json:"ready"`
	// Late is the expected outcome of orders that were delayed in transit.
	Late string `json:"late"`
}

// pausableStore blocks the renewals of a paused node.
type pausableStore struct {
	storer.Store
	mu     sync.Mutex
	paused chan struct{}
}

func (f *pausableStore) Renew(ctx context.Context, lease storer.Lease) (storer.Lease, error) {
	f.mu.Lock()
	paused := f.paused
	f.mu.Unlock()
	if paused != nil {
		<-paused
	}
	return f.Store.Renew(ctx, lease)
}

// staleHolder always reports a valid lease with an outdated fencing number, as
// a second node would that has not noticed the loss of its lease.
type staleHolder struct{}

func (staleHolder) Holding(now time.Time) (leaser.Lease, bool) {
	return leaser.Lease{Fencing: 1, Deadline: now.Add(time.Minute)}, true
}

func (tr *testRegion) start(ctx context.Context, s step) {
	if s.Publish != "" {
		tr.publish(s.Publish, s.Previous)
	}
	if s.Faults != nil {
		tr.faulty.Set(*s.Faults)
	}
	if s.Crash != nil {
		tr.mu.Lock()
		tr.engines[*s.Crash] = tr.newEngine(*s.Crash, 2)
		tr.mu.Unlock()
	}
	if s.StaleHolder {
		tr.addNode(ctx, staleHolder{}, nil, nil)
	}
	for _, n := range tr.nodes {
		if n.lease == nil {
			continue
		}
		_, held := n.lease.Holding(time.Now())
		if s.Pause && held {
			n.pause(make(chan struct{}))
		}
		if s.Resume {
			n.resume()
		}
	}
}

func (n *node) pause(paused chan struct{}) {
	n.sender.mu.Lock()
	n.sender.paused = paused
	n.sender.mu.Unlock()
	n.store.mu.Lock()
	n.store.paused = paused
	n.store.mu.Unlock()
}

func (n *node) resume() {
	n.store.mu.Lock()
	paused := n.store.paused
	n.store.mu.Unlock()
	if paused != nil {
		n.pause(nil)
		close(paused)
	}
}

func (tr *testRegion) run(ctx context.Context, s step) error {
	_, before := tr.counts()
	tr.start(ctx, s)
	for begin := time.Now(); time.Since(begin) < s.For.Std(); time.Sleep(20 * time.Millisecond) {
		synctest.Wait()
		_, allowed := tr.counts()
		if allowed == 0 && before > 0 {
			return fmt.Errorf("no replica was ready after %s", time.Since(begin))
		}
		before = allowed
	}
	if most := tr.weights.MaxConcurrentLoads(); most > maxLoads && s.Late != "accepted" {
		return fmt.Errorf("%d loads at once", most)
	}
	if wanted, _ := tr.counts(); s.Ready >= 0 && wanted != s.Ready {
		return fmt.Errorf("engines with the wanted version: got %d, want %d", wanted, s.Ready)
	}
	return tr.checkLate(s)
}

// checkLate checks the outcomes of the orders that a paused node sent after it
// was resumed.
func (tr *testRegion) checkLate(s step) error {
	if s.Late == "" {
		return nil
	}
	for _, n := range tr.nodes {
		n.sender.mu.Lock()
		late := n.sender.lateOutcomes
		n.sender.mu.Unlock()
		for _, outcome := range late {
			if outcome != s.Late {
				return fmt.Errorf("unexpected outcome of late order: %s", outcome)
			}
		}
		if len(late) > 0 {
			return nil
		}
	}
	return fmt.Errorf("no order was sent late")
}

// TestPlacement runs regions of engines through roll-outs, crashes and lost
// leases. Throughout, a model that was ready must keep a ready replica and the
// limit of simultaneous loads must hold.
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
	tr := newTestRegion(t, r, document)
	defer func() {
		for _, n := range tr.nodes {
			if n.store != nil {
				n.resume()
			}
		}
		stop()
		time.Sleep(time.Minute) // time for the holder to release its lease
		tr.pipe.Stop()
	}()
	for i := range 2 {
		store := &pausableStore{Store: tr.faulty}
		l := leaser.New(leaser.Config{
			SinceBoot: clocker.SinceBoot,
			Store:     store,
			Key:       leaser.Key("demo", region),
			Node:      fmt.Sprintf("vm-%d", i),
			Durations: func() (leaser.Durations, bool) {
				return leaser.Durations{TTL: 10 * time.Second, OrderTimeout: 5 * time.Second}, true
			},
			Log: tr.log,
		})
		go l.Run(ctx)
		tr.addNode(ctx, l, l, store)
	}
	for i, s := range r.Steps {
		if err := tr.run(ctx, s); err != nil {
			t.Errorf("step %d: %v", i, err)
			return
		}
	}
}
