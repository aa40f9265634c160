package watcher_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/placement/leaser"
	"gentianstep.example/gentianstep/internal/standin/keeper"
	"gentianstep.example/gentianstep/internal/testing/clocker"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// restartedNodes is the number of nodes that restart within a day. The test restarts
// them all at the same time.
const restartedNodes = 71

// phase is a period whose calls are counted. It begins with an action.
type phase struct {
	Name     string           `json:"name"`
	Do       string           `json:"do"`
	Duration checker.Duration `json:"for"`
}

// scenario configures the test of the call rates.
type scenario struct {
	// Nodes holds the fleet sizes to test.
	Nodes             []int `json:"nodes"`
	Regions           int   `json:"regions"`
	AvailabilityZones int   `json:"zones"`
	// MaxReads is the maximum number of reads and watches per second.
	MaxReads uint64 `json:"reads_per_second"`
	// MaxWrites is the maximum number of writes per second.
	MaxWrites uint64  `json:"writes_per_second"`
	Phases    []phase `json:"phases"`
}

// fleet is a set of nodes that share one store. Each runs the watcher and the leaser of
// a controller.
type fleet struct {
	// publisher is the node through which bundles are published and faults are set.
	publisher *testNode
	scenario  scenario
	nodes     []*testNode
}

// start starts node i, and stops it first if it is running.
func (f *fleet) start(ctx context.Context, i int) {
	n := f.nodes[i]
	if n.stop != nil {
		n.stop()
	}
	n.start(ctx)
	nodeCtx, stop := context.WithCancel(ctx)
	stopWatcher := n.stop
	n.stop = func() { stopWatcher(); stop() }
	l := leaser.New(leaser.Config{
		SinceBoot: clocker.SinceBoot,
		Store:     f.publisher.faulty,
		Key:       leaser.Key("demo", fmt.Sprint(i%f.scenario.Regions)),
		Node:      fmt.Sprint(i),
		Durations: func() (leaser.Durations, bool) {
			return leaser.Durations{TTL: 10 * time.Second, OrderTimeout: 5 * time.Second}, n.holder.Version() > 0
		},
		Log: n.log(),
	})
	go l.Run(nodeCtx)
}

// runAction runs the action of a phase.
func (f *fleet) runAction(ctx context.Context, p phase) error {
	switch p.Do {
	case "publish":
		return f.publisher.runStep(ctx, step{Do: "publish", Version: 2})
	case "outage":
		f.publisher.faulty.Set(keeper.Faults{Refuse: true})
	case "recover":
		f.publisher.faulty.Set(keeper.Faults{})
	}
	for i := range f.nodes {
		switch {
		case p.Do == "start", p.Do == "restart" && i < restartedNodes:
			f.start(ctx, i)
		case p.Do == "stop_availability_zone" && i%f.scenario.AvailabilityZones == 0:
			f.nodes[i].stop()
		}
	}
	return nil
}

// measure runs a phase and returns the mean and the peak number of calls per second.
func (f *fleet) measure(ctx context.Context, p phase) (mean, peak keeper.Calls, err error) {
	begin := f.publisher.faulty.Calls()
	if err := f.runAction(ctx, p); err != nil {
		return mean, peak, err
	}
	seconds := uint64(p.Duration.Std() / time.Second)
	last := begin
	for range seconds {
		time.Sleep(time.Second)
		synctest.Wait()
		now := f.publisher.faulty.Calls()
		peak.Reads = max(peak.Reads, now.Reads+now.Watches-last.Reads-last.Watches)
		peak.Writes = max(peak.Writes, now.Writes-last.Writes)
		last = now
	}
	mean.Reads = (last.Reads + last.Watches - begin.Reads - begin.Watches) / seconds
	mean.Writes = (last.Writes - begin.Writes) / seconds
	return mean, peak, nil
}

func TestStoreCallsStayWithinItsRates(t *testing.T) {
	t.Parallel()
	document, err := os.ReadFile("../../bundle/checker/testdata/bundle.json")
	is.New(t).NoErr(err)
	var s scenario
	scripter.Read(t, "testdata/calls.json", &s)
	for _, nodes := range s.Nodes {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runScenario(t, s, nodes, document) })
		})
	}
}

// runScenario runs the phases with a fleet of the given size. It fails if a call rate is
// exceeded or the last version is not in force at a node.
func runScenario(t *testing.T, s scenario, nodes int, document []byte) {
	first := newTestNode(t, document)
	first.stop()
	f := &fleet{publisher: first, scenario: s}
	for range nodes {
		n := *first
		n.stop = nil
		f.nodes = append(f.nodes, &n)
	}
	is.New(t).NoErr(first.runStep(t.Context(), step{Do: "publish", Version: 1}))
	for _, p := range s.Phases {
		mean, peak, err := f.measure(t.Context(), p)
		if err != nil {
			t.Errorf("phase %q: %v", p.Name, err)
			break
		}
		t.Logf("%3d nodes | %-29s | reads and watches per second: mean %4d, peak %4d | writes per second: mean %3d, peak %3d", nodes, p.Name, mean.Reads, peak.Reads, mean.Writes, peak.Writes)
		if peak.Reads > s.MaxReads || peak.Writes > s.MaxWrites {
			t.Errorf("phase %q: peak of %d reads and watches and %d writes per second exceeds the limit", p.Name, peak.Reads, peak.Writes)
		}
	}
	for _, n := range f.nodes {
		if v := n.holder.Version(); v != 2 {
			t.Errorf("got version %d in force, want 2", v)
		}
		n.stop()
	}
	time.Sleep(time.Minute) // lets the leasers release their leases
}
