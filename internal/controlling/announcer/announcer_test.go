package announcer

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/membership/tracker"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

type step struct {
	At   checker.Duration
	Do   string
	Node int
	// Want is the state of each node in the view of every running one.
	Want []string
	// Never is a state that nobody took on so far.
	Never string
}

type script struct {
	Name string
	Size int
	// Unseeded nodes at the end of the row have no address to begin with.
	Unseeded int
	Steps    []step
}

// group joins announcers in virtual time.
type group struct {
	nodes []*node
	// silent is true where messages on old connections vanish.
	silent atomic.Bool

	mu    sync.Mutex
	views []map[string]string
	seen  map[string]bool
}

// node is one announcer of a group and what it sends through.
type node struct {
	group    *group
	index    int
	announce *Announcer
	ctx      context.Context
	stop     context.CancelFunc
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7400)
}

// SendTo implements Peers.
func (n *node) SendTo(to netip.AddrPort, m messenger.Message) {
	if !n.group.silent.Load() {
		n.group.deliver(n, to, m)
	}
}

// Probe implements Peers.
func (n *node) Probe(to netip.AddrPort, m messenger.Message) { n.group.deliver(n, to, m) }

// deliver brings a message over a working connection, through its wire form.
func (g *group) deliver(from *node, to netip.AddrPort, m messenger.Message) {
	i := slices.IndexFunc(g.nodes, func(n *node) bool { return address(n.index) == to })
	if i < 0 || g.nodes[i].ctx.Err() != nil {
		return
	}
	data, err := messenger.Encode(m)
	if err != nil {
		panic(err)
	}
	got, err := messenger.Decode(data)
	if err != nil {
		panic(err)
	}
	g.nodes[i].announce.Message(*got.Membership, func(answer messenger.Message) bool {
		from.announce.Message(*answer.Membership, func(messenger.Message) bool { return false })
		return true
	})
}

// Levels implements logrus.Hook: the log lines are what is checked.
func (g *group) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (g *group) Fire(e *logrus.Entry) error {
	member, ok := e.Data["member"].(string)
	if !ok {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	state := e.Data["state"].(string)
	g.seen[state] = true
	g.views[e.Data["by"].(int)][member] = state
	return nil
}

func newGroup(s script) *group {
	g := &group{seen: make(map[string]bool)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(g)
	for i := range s.Size {
		g.views = append(g.views, make(map[string]string))
		n := &node{group: g, index: i}
		var seeds []netip.AddrPort
		if i > 0 && i != s.Unseeded {
			seeds = append(seeds, address(0))
		}
		n.announce = New(Config{
			Self:          tracker.Member{Address: address(i), Name: name(i), Region: "west"},
			Seeds:         seeds,
			Seed:          uint64(i + 1),
			Peers:         n,
			OnMembers:     func([]tracker.Member) {},
			BundleVersion: func() uint64 { return 1 },
			Log:           log.WithField("by", i),
		})
		g.nodes = append(g.nodes, n)
	}
	return g
}

func name(i int) string { return fmt.Sprintf("vm-%d", i) }

func (g *group) do(s step) {
	vms := make([]storer.VM, 0, len(g.nodes))
	for i := range g.nodes {
		vms = append(vms, storer.VM{Address: address(i), State: storer.Live})
	}
	switch s.Do {
	case "silence":
		g.silent.Store(true)
	case "stop":
		g.nodes[s.Node].stop()
	case "leave":
		g.nodes[s.Node].announce.Leave()
	case "list":
		g.nodes[0].announce.VMs(vms)
	case "list_leaving":
		vms[s.Node].State = storer.Leaving
		g.nodes[s.Node].announce.VMs(vms)
	}
}

func (g *group) check(t *testing.T, s step) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	is := is.New(t)
	is.True(s.Never == "" || !g.seen[s.Never]) // a state that nobody took on
	for by, view := range g.views {
		if g.nodes[by].ctx.Err() != nil {
			continue
		}
		for i, want := range s.Want {
			got, ok := view[name(i)]
			if !ok {
				got = "unknown"
			}
			if i != by && s.Want[by] != "unknown" {
				is.Equal(got, want) // a node in the view of another
			}
		}
	}
}

func TestScripts(t *testing.T) {
	t.Parallel()
	var scripts []script
	scripter.Read(t, "testdata/scripts.json", &scripts)
	for _, s := range scripts {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { play(t, s) })
		})
	}
}

func play(t *testing.T, s script) {
	start := time.Now()
	g := newGroup(s)
	for _, n := range g.nodes {
		n.ctx, n.stop = context.WithCancel(t.Context())
		go n.announce.Run(n.ctx)
	}
	for _, step := range s.Steps {
		<-time.After(time.Until(start.Add(step.At.Std())))
		synctest.Wait()
		g.do(step)
		g.check(t, step)
	}
	for _, n := range g.nodes {
		n.stop()
	}
	synctest.Wait()
}
