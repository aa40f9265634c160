package withdrawer

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/membership/watcher"
	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

const (
	controllers = 2
	routers     = 3
	// latency is the delivery time of a message.
	latency = 100 * time.Millisecond
	// repeatInterval is the time between two broadcasts of all departures by a
	// controller.
	repeatInterval = 30 * time.Second
)

// step is an action on the fleet, the expected state, or both.
type step struct {
	At          checker.Duration
	Action      string
	Node        int
	Incarnation uint64
	Leaving     bool
	// ReportedAt is when a report was made; the default is At.
	ReportedAt checker.Duration
	// Excluded is whether every router is expected to exclude the upstream from
	// new requests. If nil, nothing is checked.
	Excluded *bool
}

// delivery is a message in flight.
type delivery struct {
	at         time.Time
	from, to   int
	departures []watcher.Departure
}

// fleet simulates controllers and routers that exchange messages with latency.
// The controllers have the lowest indices; router i is connected to controller i
// modulo the number of controllers.
type fleet struct {
	now   time.Time
	nodes []*Withdrawer
	queue []delivery
	// partitioned drops all messages sent while it is true.
	partitioned bool
	// firstSent holds the departures sent first, for the replay action.
	firstSent []watcher.Departure
}

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newFleet() *fleet {
	f := &fleet{now: start}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range controllers + routers {
		w := New(Config{
			Log:          logrus.NewEntry(log),
			OnDepartures: func(list []watcher.Departure) { f.publish(i, true, list) },
		})
		w.SetUpstreams([]string{"u"})
		f.nodes = append(f.nodes, w)
	}
	return f
}

// publish sends departures from node i: a router's to its controller, a
// controller's to its routers and, if toPeers is set, to the other controllers.
func (f *fleet) publish(i int, toPeers bool, list []watcher.Departure) {
	if f.firstSent == nil {
		f.firstSent = list
	}
	for j := range f.nodes {
		router := j >= controllers
		switch {
		case i == j:
		case i >= controllers && j == i%controllers,
			i < controllers && router && j%controllers == i,
			i < controllers && !router && toPeers:
			f.send(delivery{from: i, to: j, departures: list})
		}
	}
}

func (f *fleet) send(d delivery) {
	if f.partitioned {
		return
	}
	d.at = f.now.Add(latency)
	f.queue = append(f.queue, d)
}

// advance runs the simulation until the given time: it delivers messages and
// lets controllers repeat their departures.
func (f *fleet) advance(until time.Time) {
	for ; f.now.Before(until); f.now = f.now.Add(latency) {
		if f.now.Sub(start)%repeatInterval == 0 {
			for i := range controllers {
				if list := f.nodes[i].Departures(f.now); len(list) > 0 {
					f.publish(i, true, list)
				}
			}
		}
		f.deliver()
	}
	f.deliver()
}

func (f *fleet) deliver() {
	due := f.queue
	f.queue = nil
	for _, d := range due {
		if d.at.After(f.now) {
			f.queue = append(f.queue, d)
			continue
		}
		if applied := f.nodes[d.to].ApplyDepartures(d.departures); len(applied) > 0 && d.to < controllers {
			f.publish(d.to, d.from >= controllers, applied)
		}
	}
}

func (f *fleet) runStep(s step) {
	switch s.Action {
	case "report":
		r := observer.Report{Upstream: "u", Incarnation: max(s.Incarnation, 1), Leaving: s.Leaving, At: f.now}
		if s.ReportedAt > 0 {
			r.At = start.Add(s.ReportedAt.Std())
		}
		for i := range f.nodes {
			f.nodes[i].HandleReports(f.now, []observer.Report{r})
		}
	case "list":
		var names []string
		if s.Leaving {
			names = []string{"u"}
		}
		f.nodes[s.Node].HandlePlatformList(f.now, names)
	case "refusal":
		f.nodes[s.Node].HandleLeavingRefusal(f.now, "u")
	case "order":
		f.nodes[s.Node].HandleOrder(f.now, "u")
	case "partition", "heal":
		f.partitioned = s.Action == "partition"
	case "stale":
		f.publish(0, true, []watcher.Departure{{Upstream: "u", Incarnation: s.Incarnation, Signal: watcher.Refusals, At: f.now}})
	case "replay":
		f.publish(0, true, f.firstSent)
	}
}

func TestRoutersExcludeLeavingUpstream(t *testing.T) {
	t.Parallel()
	var scenarios []struct {
		Name  string
		Steps []step
	}
	scripter.Read(t, "testdata/scripts.json", &scenarios)
	for _, s := range scenarios {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet()
			for _, step := range s.Steps {
				f.advance(start.Add(step.At.Std()))
				f.runStep(step)
				for i := controllers; step.Excluded != nil && i < len(f.nodes); i++ {
					t.Logf("%s: router %d", step.At.Std(), i)
					is.Equal(f.nodes[i].AcceptsRequests("u"), !*step.Excluded) // whether the router may send it new requests
				}
			}
		})
	}
}
