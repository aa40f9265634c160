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
	// latency is the time that a message takes.
	latency = 100 * time.Millisecond
	// repeatInterval is the time between two repetitions.
	repeatInterval = 30 * time.Second
)

type step struct {
	At          checker.Duration
	Do          string
	Node        int
	Incarnation uint64
	Leaving     bool
	// Made is when a report was made, At where left out.
	Made checker.Duration
	// Out is whether the upstream is out of selection at every router.
	Out *bool
}

// delivery is a message under way.
type delivery struct {
	at         time.Time
	from, to   int
	departures []watcher.Departure
}

// fleet joins controllers and routers by slow messages. The controllers come
// first; router i is connected to controller i modulo their number.
type fleet struct {
	now   time.Time
	nodes []*Withdrawer
	queue []delivery
	cut   bool
	first []watcher.Departure
}

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newFleet() *fleet {
	f := &fleet{now: start}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range controllers + routers {
		w := New(Config{
			Log:          logrus.NewEntry(log),
			OnDepartures: func(list []watcher.Departure) { f.tell(i, true, list) },
		})
		w.SetUpstreams([]string{"u"})
		f.nodes = append(f.nodes, w)
	}
	return f
}

// tell sends what node i knows: a router to its controller, a controller to
// its routers and, where peers is set, to the other controllers.
func (f *fleet) tell(i int, peers bool, list []watcher.Departure) {
	if f.first == nil {
		f.first = list
	}
	for j := range f.nodes {
		router := j >= controllers
		switch {
		case i == j:
		case i >= controllers && j == i%controllers,
			i < controllers && router && j%controllers == i,
			i < controllers && !router && peers:
			f.send(delivery{from: i, to: j, departures: list})
		}
	}
}

func (f *fleet) send(d delivery) {
	if f.cut {
		return
	}
	d.at = f.now.Add(latency)
	f.queue = append(f.queue, d)
}

// advance delivers and repeats until the time.
func (f *fleet) advance(until time.Time) {
	for ; f.now.Before(until); f.now = f.now.Add(latency) {
		if f.now.Sub(start)%repeatInterval == 0 {
			for i := range controllers {
				if list := f.nodes[i].Departures(f.now); len(list) > 0 {
					f.tell(i, true, list)
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
		if news := f.nodes[d.to].Learn(d.departures); len(news) > 0 && d.to < controllers {
			f.tell(d.to, d.from >= controllers, news)
		}
	}
}

func (f *fleet) do(s step) {
	switch s.Do {
	case "report":
		r := observer.Report{Upstream: "u", Incarnation: max(s.Incarnation, 1), Leaving: s.Leaving, At: f.now}
		if s.Made > 0 {
			r.At = start.Add(s.Made.Std())
		}
		for i := range f.nodes {
			f.nodes[i].Reports(f.now, []observer.Report{r})
		}
	case "list":
		var names []string
		if s.Leaving {
			names = []string{"u"}
		}
		f.nodes[s.Node].List(f.now, names)
	case "refusal":
		f.nodes[s.Node].Refused(f.now, "u")
	case "order":
		f.nodes[s.Node].Order(f.now, "u")
	case "cut", "mend":
		f.cut = s.Do == "cut"
	case "stale":
		f.tell(0, true, []watcher.Departure{{Upstream: "u", Incarnation: s.Incarnation, Sign: watcher.Refusals, At: f.now}})
	case "replay":
		f.tell(0, true, f.first)
	}
}

func TestEveryRouterHears(t *testing.T) {
	t.Parallel()
	var scripts []struct {
		Name  string
		Steps []step
	}
	scripter.Read(t, "testdata/scripts.json", &scripts)
	for _, s := range scripts {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet()
			for _, step := range s.Steps {
				f.advance(start.Add(step.At.Std()))
				f.do(step)
				for i := controllers; step.Out != nil && i < len(f.nodes); i++ {
					t.Logf("%s: router %d", step.At.Std(), i)
					is.Equal(f.nodes[i].Serves("u"), !*step.Out) // new work at a router
				}
			}
		})
	}
}
