package tracker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

type script struct {
	Name           string
	Size           int
	Loss           float64
	MaxFalseDeaths int `json:"max_false_deaths"`
	Steps          []step
}

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
					t.Fatalf("step %d: %s %v did not come within %s", i, step.Do, step.targets(), step.Within.Std())
				}
			}
			t.Log(p.n.faults, p.n.falseDeaths)
			is.Equal(len(p.n.faults), 0)                 // faults, which the log shows
			is.True(p.n.falseDeaths <= s.MaxFalseDeaths) // deaths of nodes that were up
		})
	}
}

// player plays the steps of a script on a network.
type player struct {
	t      *testing.T
	n      *network
	record []Member
}

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
			node.group = 0
		}
	case "list":
		leaver := -1
		if len(s.Nodes) > 0 {
			leaver = s.Nodes[0]
		}
		for i, node := range p.n.nodes {
			p.n.apply(i, node.tracker.HandleVMList(p.n.now.Add(node.offset), p.n.vms(leaver)))
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
		node.group = 1
	case "offset":
		node.offset += s.By.Std()
	case "leave":
		node.left = true
		p.n.apply(i, node.tracker.Leave(p.n.now))
	case "record":
		p.record = append(p.record, node.tracker.Self())
	}
}

func (p *player) await(s step, until time.Time) bool {
	return p.n.run(until, func() bool {
		for _, i := range s.targets() {
			if !p.n.all(i, func(state State) bool { return state.String() == s.State }) {
				return false
			}
		}
		return true
	})
}

// replay sends the recorded reports to everybody again, as late gossip.
func (p *player) replay() {
	from := Member{Address: address(200), Incarnation: 1, State: Leaving, Name: "late"}
	for i, node := range p.n.nodes {
		e, err := node.tracker.Handle(p.n.now, Message{Kind: Ping, From: from, Updates: p.record})
		is.New(p.t).NoErr(err)
		p.n.apply(i, Effects{Changes: e.Changes})
	}
}

// sameIncarnation reports whether every view has the node's own incarnation.
func (p *player) sameIncarnation(i int) bool {
	want := p.n.nodes[i].tracker.Self().Incarnation
	for j, node := range p.n.nodes {
		if j != i && node.tracker.records[address(i)].Incarnation != want {
			return false
		}
	}
	return true
}
