package coordinator

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

const promptBlocks = 16

type step struct {
	At           checker.Duration
	Do           string
	Upstream     string
	Organisation string
	Version      string
	Blocks       int
	// Held is what a lookup at every controller finds, in blocks.
	Held map[string]int
	// Silent is the number of controllers that get no whole answer.
	Silent int
	// Each is the number of readers of each engine, or of open questions.
	Each int
}

// answers gathers the parts of one answer.
type answers struct {
	mu    sync.Mutex
	held  map[string]int
	whole bool
}

func (a *answers) take(m messenger.Message) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, h := range m.LookupReply.Holdings {
		a.held[h.Upstream] = max(a.held[h.Upstream], h.HeldBlocks)
	}
	a.whole = !m.LookupReply.More
	return true
}

func TestScripts(t *testing.T) {
	t.Parallel()
	var scripts []struct {
		Name  string
		Steps []step
	}
	scripter.Read(t, "testdata/scripts.json", &scripts)
	for _, s := range scripts {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				g := newGroup(t)
				for _, step := range s.Steps {
					<-time.After(time.Until(start.Add(step.At.Std())))
					synctest.Wait()
					g.do(t, step)
					synctest.Wait()
				}
				for _, n := range g.nodes {
					n.stop()
				}
				synctest.Wait()
			})
		})
	}
}

func (g *group) do(t *testing.T, s step) {
	t.Helper()
	is := is.New(t)
	switch s.Do {
	case "store":
		g.store(s)
	case "restart":
		g.restart(s.Upstream)
	case "report":
		g.report(s.Upstream)
	case "replay":
		g.publish(s.Upstream, g.engines[s.Upstream].dead)
	case "kill_reader":
		g.kill(g.readersOf(s.Upstream)[0])
	case "kill_owner":
		g.kill(g.node(g.nodes[0].owners.Owner(chain(s.Organisation, s.Version, promptBlocks)[hasher.CheckpointBlocks-1])))
	case "readers":
		for name := range g.engines {
			is.Equal(len(g.readersOf(name)), s.Each) // readers of an engine
		}
	case "asked":
		for _, n := range g.nodes {
			is.Equal(len(n.asked), s.Each) // open questions
		}
	case "cut", "lose", "mend", "end_lost":
		g.connections(s.Do)
	case "lookup":
		g.lookup(t, s)
	}
}

func (g *group) connections(do string) {
	g.mu.Lock()
	g.cut = do == "cut"
	g.losing = do == "lose"
	g.mu.Unlock()
	if do != "end_lost" {
		return
	}
	for _, n := range g.nodes {
		for _, other := range g.nodes {
			if n != other {
				n.Lost(other.name)
			}
		}
	}
}

// lookup asks every live controller as its router would.
func (g *group) lookup(t *testing.T, s step) {
	t.Helper()
	is := is.New(t)
	silent := 0
	for _, n := range g.nodes {
		if n.ended {
			continue
		}
		a := &answers{held: make(map[string]int)}
		question := messenger.Lookup{ID: 1, Checkpoints: hasher.Checkpoints(chain(s.Organisation, s.Version, promptBlocks))}
		n.Message(messenger.Router, messenger.Message{Lookup: &question}, a.take)
		synctest.Wait()
		is.Equal(a.held, s.Held) // what an engine holds
		if !a.whole {
			silent++
		}
	}
	is.Equal(silent, s.Silent) // controllers without a whole answer
}

func TestInputsAreBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := New(Config{Self: Member{Node: "vm-0", Region: region}})
	for range inputLimit + 10 {
		c.Lost("vm-1")
	}
	is.Equal(len(c.inputs), inputLimit)    // what waits
	is.Equal(c.dropped.Load(), uint64(10)) // and what was dropped is counted
}
