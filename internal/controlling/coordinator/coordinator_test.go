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
	// Held is the expected result of a lookup at each controller: the number of
	// blocks held by each upstream.
	Held map[string]int
	// Incomplete is the expected number of controllers whose lookup gets no final
	// reply.
	Incomplete int
	// Count is the expected number of readers of each engine, or of pending lookups
	// at each controller.
	Count int
}

// replies combines the replies to one lookup.
type replies struct {
	mu       sync.Mutex
	held     map[string]int
	complete bool
}

// add adds the holdings of a reply.
func (r *replies) add(m messenger.Message) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range m.LookupReply.Holdings {
		r.held[h.Upstream] = max(r.held[h.Upstream], h.HeldBlocks)
	}
	r.complete = !m.LookupReply.More
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
				c := newCluster(t)
				for _, step := range s.Steps {
					<-time.After(time.Until(start.Add(step.At.Std())))
					synctest.Wait()
					c.runStep(t, step)
					synctest.Wait()
				}
				for _, n := range c.nodes {
					n.stop()
				}
				synctest.Wait()
			})
		})
	}
}

// runStep performs the action or the check of a step.
func (c *cluster) runStep(t *testing.T, s step) {
	t.Helper()
	is := is.New(t)
	switch s.Do {
	case "store":
		c.store(s)
	case "restart":
		c.restart(s.Upstream)
	case "report":
		c.report(s.Upstream)
	case "replay":
		c.publish(s.Upstream, c.engines[s.Upstream].previousEvents)
	case "kill_reader":
		c.kill(c.readersOf(s.Upstream)[0])
	case "kill_owner":
		c.kill(c.node(c.nodes[0].owners.Owner(chain(s.Organisation, s.Version, promptBlocks)[hasher.CheckpointBlocks-1])))
	case "readers":
		for name := range c.engines {
			is.Equal(len(c.readersOf(name)), s.Count) // number of readers of the engine
		}
	case "pending_lookups":
		for _, n := range c.nodes {
			is.Equal(len(n.pending), s.Count) // number of pending lookups
		}
	case "disconnect", "drop_messages", "reconnect", "report_loss":
		c.setConnections(s.Do)
	case "lookup":
		c.lookup(t, s)
	}
}

// setConnections changes the state of all connections. The action report_loss restores
// them and reports to each controller that messages to its peers may have been lost.
func (c *cluster) setConnections(do string) {
	c.mu.Lock()
	c.disconnected = do == "disconnect"
	c.dropMessages = do == "drop_messages"
	c.mu.Unlock()
	if do != "report_loss" {
		return
	}
	for _, n := range c.nodes {
		for _, other := range c.nodes {
			if n != other {
				n.ScheduleResync(other.name)
			}
		}
	}
}

// lookup sends a lookup to each live controller, as its router does, and checks the
// combined replies.
func (c *cluster) lookup(t *testing.T, s step) {
	t.Helper()
	is := is.New(t)
	incomplete := 0
	for _, n := range c.nodes {
		if n.stopped {
			continue
		}
		r := &replies{held: make(map[string]int)}
		lookup := messenger.Lookup{ID: 1, Checkpoints: hasher.Checkpoints(chain(s.Organisation, s.Version, promptBlocks))}
		n.ReceiveMessage(messenger.Router, messenger.Message{Lookup: &lookup}, r.add)
		synctest.Wait()
		is.Equal(r.held, s.Held) // blocks held by each engine
		if !r.complete {
			incomplete++
		}
	}
	is.Equal(incomplete, s.Incomplete) // controllers without a final reply
}

func TestInputsAreBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := New(Config{Self: Member{Node: "vm-0", Region: region}})
	for range inputQueueSize + 10 {
		c.ScheduleResync("vm-1")
	}
	is.Equal(len(c.inputs), inputQueueSize) // number of queued inputs
	is.Equal(c.dropped.Load(), uint64(10))  // number of dropped inputs
}
