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
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// herdSize is the number of nodes that restart in a day, here all at once.
const herdSize = 71

// phase is a time in which calls are counted.
type phase struct {
	Name string           `json:"name"`
	Do   string           `json:"do"`
	For  checker.Duration `json:"for"`
}

// load is what a test of calls runs.
type load struct {
	Nodes   []int   `json:"nodes"`
	Regions int     `json:"regions"`
	Zones   int     `json:"zones"`
	Reads   uint64  `json:"reads_per_second"`
	Writes  uint64  `json:"writes_per_second"`
	Phases  []phase `json:"phases"`
}

// fleet is a number of nodes, each with the watcher and the leaser of a
// controller, on one store.
type fleet struct {
	bench *bench
	load  load
	nodes []*bench
}

// start starts node i anew.
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
		Store: f.bench.faulty,
		Key:   leaser.Key("demo", fmt.Sprint(i%f.load.Regions)),
		Node:  fmt.Sprint(i),
		Durations: func() (leaser.Durations, bool) {
			return leaser.Durations{TTL: 10 * time.Second, OrderTimeout: 5 * time.Second}, n.holder.Version() > 0
		},
		Log: n.log(),
	})
	go l.Run(nodeCtx)
}

func (f *fleet) do(ctx context.Context, p phase) error {
	switch p.Do {
	case "publish":
		return f.bench.run(ctx, step{Do: "publish", Version: 2})
	case "outage":
		f.bench.faulty.Set(keeper.Faults{Refuse: true})
	case "return":
		f.bench.faulty.Set(keeper.Faults{})
	}
	for i := range f.nodes {
		switch {
		case p.Do == "start", p.Do == "herd" && i < herdSize:
			f.start(ctx, i)
		case p.Do == "zone" && i%f.load.Zones == 0:
			f.nodes[i].stop()
		}
	}
	return nil
}

// count runs a phase and returns its calls a second: mean and highest.
func (f *fleet) count(ctx context.Context, p phase) (mean, most keeper.Calls, err error) {
	begin := f.bench.faulty.Calls()
	if err := f.do(ctx, p); err != nil {
		return mean, most, err
	}
	seconds := uint64(p.For.Std() / time.Second)
	last := begin
	for range seconds {
		time.Sleep(time.Second)
		synctest.Wait()
		now := f.bench.faulty.Calls()
		most.Reads = max(most.Reads, now.Reads+now.Watches-last.Reads-last.Watches)
		most.Writes = max(most.Writes, now.Writes-last.Writes)
		last = now
	}
	mean.Reads = (last.Reads + last.Watches - begin.Reads - begin.Watches) / seconds
	mean.Writes = (last.Writes - begin.Writes) / seconds
	return mean, most, nil
}

func TestStoreCallsStayWithinItsRates(t *testing.T) {
	t.Parallel()
	document, err := os.ReadFile("../../bundle/checker/testdata/bundle.json")
	is.New(t).NoErr(err)
	var l load
	scripter.Read(t, "testdata/calls.json", &l)
	for _, nodes := range l.Nodes {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { countCalls(t, l, nodes, document) })
		})
	}
}

func countCalls(t *testing.T, l load, nodes int, document []byte) {
	first := newBench(t, document)
	first.stop()
	f := &fleet{bench: first, load: l}
	for range nodes {
		n := *first
		n.stop = nil
		f.nodes = append(f.nodes, &n)
	}
	is.New(t).NoErr(first.run(t.Context(), step{Do: "publish", Version: 1}))
	for _, p := range l.Phases {
		mean, most, err := f.count(t.Context(), p)
		if err != nil {
			t.Errorf("%s: %v", p.Name, err)
			break
		}
		t.Logf("%3d nodes | %-22s | reads and watches a second %4d mean, %4d highest | writes %3d mean, %3d highest", nodes, p.Name, mean.Reads, most.Reads, mean.Writes, most.Writes)
		if most.Reads > l.Reads || most.Writes > l.Writes {
			t.Errorf("%s: %d reads and %d writes in a second", p.Name, most.Reads, most.Writes)
		}
	}
	for _, n := range f.nodes {
		if v := n.holder.Version(); v != 2 {
			t.Errorf("version %d is in force", v)
		}
		n.stop()
	}
	time.Sleep(time.Minute) // lets the holders give their leases up
}
