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
	// Want is the expected state of each node in the views of all running nodes.
	Want []string
	// NeverSeen is a state that no node may have had in any view so far.
	NeverSeen string
}

type script struct {
	Name string
	Size int
	// Unseeded is the index of a node without seed addresses, or 0 if all nodes
	// except node 0 have one.
	Unseeded int
	Steps    []step
}

// cluster connects announcers in memory and runs them in virtual time. As a log hook,
// it records the member states in the view of each node.
type cluster struct {
	nodes []*node
	// dropMessages discards messages on existing connections, as a connection does
	// that fails without an error. Probes on new connections still arrive.
	dropMessages atomic.Bool

	mu sync.Mutex
	// views holds the state of each member by name in the view of each node.
	views []map[string]string
	// seen holds the states that any member had in any view.
	seen map[string]bool
}

// node is a controller in the cluster. It implements Peers for its announcer.
type node struct {
	cluster   *cluster
	index     int
	announcer *Announcer
	ctx       context.Context
	stop      context.CancelFunc
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7400)
}

// SendTo implements Peers.
func (n *node) SendTo(to netip.AddrPort, m messenger.Message) {
	if !n.cluster.dropMessages.Load() {
		n.cluster.deliver(n, to, m)
	}
}

// Probe implements Peers.
func (n *node) Probe(to netip.AddrPort, m messenger.Message) {
	n.cluster.deliver(n, to, m)
}

// deliver encodes and decodes a message and passes it to the node at address to. The
// reply is delivered to the sender in the same way as over a connection.
func (c *cluster) deliver(from *node, to netip.AddrPort, m messenger.Message) {
	i := slices.IndexFunc(c.nodes, func(n *node) bool { return address(n.index) == to })
	if i < 0 || c.nodes[i].ctx.Err() != nil {
		return
	}
	data, err := messenger.Encode(m)
	if err != nil {
		panic(err)
	}
	decoded, err := messenger.Decode(data)
	if err != nil {
		panic(err)
	}
	c.nodes[i].announcer.ReceiveMessage(*decoded.Membership, func(reply messenger.Message) bool {
		from.announcer.ReceiveMessage(*reply.Membership, func(messenger.Message) bool { return false })
		return true
	})
}

// Levels implements logrus.Hook. The log entries are hooked because each membership
// change is logged.
func (c *cluster) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook. It records the state in a log entry about a member.
func (c *cluster) Fire(e *logrus.Entry) error {
	member, ok := e.Data["member"].(string)
	if !ok {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	state := e.Data["state"].(string)
	c.seen[state] = true
	c.views[e.Data["by"].(int)][member] = state
	return nil
}

func newCluster(s script) *cluster {
	c := &cluster{seen: make(map[string]bool)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(c)
	for i := range s.Size {
		c.views = append(c.views, make(map[string]string))
		n := &node{cluster: c, index: i}
		var seeds []netip.AddrPort
		if i > 0 && i != s.Unseeded {
			seeds = append(seeds, address(0))
		}
		n.announcer = New(Config{
			Self:          tracker.Member{Address: address(i), Name: name(i), Region: "west"},
			Seeds:         seeds,
			Seed:          uint64(i + 1),
			Peers:         n,
			OnMembers:     func([]tracker.Member) {},
			BundleVersion: func() uint64 { return 1 },
			Log:           log.WithField("by", i),
		})
		c.nodes = append(c.nodes, n)
	}
	return c
}

func name(i int) string { return fmt.Sprintf("vm-%d", i) }

// runStep performs the action of a step.
func (c *cluster) runStep(s step) {
	vms := make([]storer.VM, 0, len(c.nodes))
	for i := range c.nodes {
		vms = append(vms, storer.VM{Address: address(i), State: storer.Live})
	}
	switch s.Do {
	case "drop_messages":
		c.dropMessages.Store(true)
	case "stop":
		c.nodes[s.Node].stop()
	case "leave":
		c.nodes[s.Node].announcer.Leave()
	case "vm_list":
		c.nodes[0].announcer.ReceiveVMList(vms)
	case "vm_list_leaving":
		vms[s.Node].State = storer.Leaving
		c.nodes[s.Node].announcer.ReceiveVMList(vms)
	}
}

// checkStep compares the views of all running nodes with the expected states.
func (c *cluster) checkStep(t *testing.T, s step) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	is := is.New(t)
	is.True(s.NeverSeen == "" || !c.seen[s.NeverSeen]) // no member may have had this state in any view
	for by, view := range c.views {
		if c.nodes[by].ctx.Err() != nil {
			continue
		}
		for i, want := range s.Want {
			got, ok := view[name(i)]
			if !ok {
				got = "unknown"
			}
			if i != by && s.Want[by] != "unknown" {
				is.Equal(got, want) // state of node i in the view of another node
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
			synctest.Test(t, func(t *testing.T) { runScript(t, s) })
		})
	}
}

// runScript runs the steps of a script at their virtual times.
func runScript(t *testing.T, s script) {
	start := time.Now()
	c := newCluster(s)
	for _, n := range c.nodes {
		n.ctx, n.stop = context.WithCancel(t.Context())
		go n.announcer.Run(n.ctx)
	}
	for _, step := range s.Steps {
		<-time.After(time.Until(start.Add(step.At.Std())))
		synctest.Wait()
		c.runStep(step)
		c.checkStep(t, step)
	}
	for _, n := range c.nodes {
		n.stop()
	}
	synctest.Wait()
}
