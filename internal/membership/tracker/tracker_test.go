package tracker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// script is one test case: a cluster and the steps to run on it.
type script struct {
	Name           string
	Size           int
	Loss           float64
	MaxFalseDeaths int `json:"max_false_deaths"`
	Steps          []step
}

// step is one action on the cluster. Nodes, or First to Last, are the nodes it
// applies to, By is a clock offset and Within the duration or the time limit.
type step struct {
	Do     string
	Nodes  []int
	First  int
	Last   int
	State  string
	By     checker.Duration
	Within checker.Duration
}

func (s step) targets() []int {
	if s.Last == 0 {
		return s.Nodes
	}
	var nodes []int
	for i := s.First; i <= s.Last; i++ {
		nodes = append(nodes, i)
	}
	return nodes
}

func TestScripts(t *testing.T) {
	t.Parallel()
	var scripts []script
	scripter.Read(t, "testdata/scripts.json", &scripts)
	for _, s := range scripts {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := &player{t: t, n: newNetwork(s.Size, s.Loss, 1)}
			for i, step := range s.Steps {
				if !p.play(step) {
					t.Fatalf("step %d: %s %v not reached within %s", i, step.Do, step.targets(), step.Within.Std())
				}
			}
			t.Log(p.n.failures, p.n.falseDeaths)
			is.Equal(len(p.n.failures), 0)               // no decoding errors or protocol violations; see the log
			is.True(p.n.falseDeaths <= s.MaxFalseDeaths) // at most the allowed number of running nodes declared dead
		})
	}
}

// player runs the steps of a script on a network.
type player struct {
	t *testing.T
	n *network
	// recorded holds the member records that replay sends.
	recorded []Member
}

// play runs one step and reports whether its condition was met in time.
func (p *player) play(s step) bool {
	until := p.n.now.Add(s.Within.Std())
	switch s.Do {
	case "run":
		p.n.run(until, nil)
	case "converge":
		return p.n.run(until, func() bool { return p.n.converged(false) })
	case "await":
		return p.await(s, until)
	case "same_incarnation":
		return p.sameIncarnation(s.Nodes[0])
	case "heal":
		for _, node := range p.n.nodes {
			node.partition = 0
		}
	case "list":
		leaving := -1
		if len(s.Nodes) > 0 {
			leaving = s.Nodes[0]
		}
		for i, node := range p.n.nodes {
			p.n.apply(i, node.tracker.HandleVMList(p.n.now.Add(node.offset), p.n.vmList(leaving)))
		}
	case "replay":
		p.replay()
	default:
		for _, i := range s.targets() {
			p.act(s, i)
		}
	}
	return true
}

// act runs a step on node i.
func (p *player) act(s step, i int) {
	node := p.n.nodes[i]
	switch s.Do {
	case "kill":
		node.up = false
	case "restart":
		p.n.start(i)
	case "pause":
		node.paused = true
	case "resume":
		node.paused = false
	case "partition":
		node.partition = 1
	case "offset":
		node.offset += s.By.Std()
	case "leave":
		node.leaving = true
		p.n.apply(i, node.tracker.Leave(p.n.now))
	case "record":
		p.recorded = append(p.recorded, node.tracker.Self())
	}
}

// await runs the network until every peer of each target has it in the state.
func (p *player) await(s step, until time.Time) bool {
	return p.n.run(until, func() bool {
		for _, i := range s.targets() {
			if !p.n.allPeersSee(i, func(state State) bool { return state.String() == s.State }) {
				return false
			}
		}
		return true
	})
}

// replay sends the recorded members to every node again, as delayed gossip.
func (p *player) replay() {
	from := Member{Address: address(200), Incarnation: 1, State: Leaving, Name: "late"}
	for i, node := range p.n.nodes {
		e, err := node.tracker.HandleMessage(p.n.now, Message{Kind: Ping, From: from, Updates: p.recorded})
		is.New(p.t).NoErr(err)
		p.n.apply(i, Effects{Changes: e.Changes})
	}
}

// sameIncarnation reports whether every view has the current incarnation of node i.
func (p *player) sameIncarnation(i int) bool {
	want := p.n.nodes[i].tracker.Self().Incarnation
	for j, node := range p.n.nodes {
		if j != i && node.tracker.records[address(i)].Incarnation != want {
			return false
		}
	}
	return true
}
