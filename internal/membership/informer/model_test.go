package informer_test

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/platform"
)

const (
	modelUpstreams = 4
	// modelVMs is the number of VMs: the first two watch the store, the last one asks
	// other VMs, and those between are supplied by the first two.
	modelVMs      = 5
	modelWatchers = 2
)

// modelUpstream is the actual state of an upstream: the start of its process, and
// whether that is ready, draining or gone.
type modelUpstream struct {
	born  int64
	state string
}

// modelStep is an event of a schedule with two numbers that choose what it concerns.
type modelStep struct {
	kind string
	a, b int
}

var modelKinds = []string{
	"configure", "name_weights", "drain", "end", "start", "copy", "restore", "restore", "write_again",
	"watch", "watch", "keep_response", "late_response", "send", "receive", "receive", "reconnect", "exchange", "wait",
}

type modelRun struct {
	store         modelStore
	copies        []modelStore
	kept          []modelStore
	vms           []*informer.Informer
	links         map[[2]int]*relayed
	configuration int
	weights       int
	upstreams     []modelUpstream
	// left holds, for each VM, the processes that it saw leave.
	left       []map[string]bool
	usable     []map[string]bool
	highest    []uint64
	violations []string
}

func newModelRun(ctx context.Context) *modelRun {
	m := &modelRun{
		store:     modelStore{version: storer.Version{Era: 1, Revision: 10}, entries: make(map[string]storer.Entry)},
		links:     make(map[[2]int]*relayed),
		upstreams: make([]modelUpstream, modelUpstreams),
		highest:   make([]uint64, modelVMs),
	}
	for n := range m.upstreams {
		m.upstreams[n] = modelUpstream{1, "ready"}
	}
	m.configuration, m.weights = 1, 1
	for range modelVMs {
		i := newInformer()
		go i.Run(ctx)
		m.vms = append(m.vms, i)
		m.left = append(m.left, make(map[string]bool))
		m.usable = append(m.usable, make(map[string]bool))
	}
	m.writeAgain()
	m.copies = []modelStore{m.store.copy()}
	return m
}

func (m *modelRun) writeAgain() {
	m.store.put("op/config", fmt.Sprintf(`{"version":%d,"services":[{"name":"s"}],"routes":[{"name":"r","host":"h","prefix":"/","kind":"idempotent","service":"s"}]}`, m.configuration))
	m.store.put("op/version/m", fmt.Sprintf(`{"model":"m","version":%d}`, m.weights))
	for n := range m.upstreams {
		m.writeUpstream(n)
	}
}

func (m *modelRun) writeUpstream(n int) {
	u, key := m.upstreams[n], fmt.Sprintf("servers/u%d", n)
	if u.state == "gone" {
		m.store.write(storer.Change{Entry: storer.Entry{Key: key}, Removed: true})
		return
	}
	m.store.put(key, fmt.Sprintf(`{"service":"s","address":"10.1.0.%d:80","zone":"z","slots":4,"state":%q,"cold_remaining_ms":0,"sequence":0,"version":"1","born":%d}`, n+1, u.state, u.born))
}

// read has a VM read a state of the store: the changes if it has an earlier version of
// the same era, and otherwise a snapshot.
func (m *modelRun) read(n int, s modelStore) {
	for _, prefix := range []string{platform.OperatorPrefix, platform.UpstreamPrefix} {
		known := m.vms[n].Version(prefix)
		if known.Era != s.version.Era || len(s.history) == 0 || known.Revision+1 < s.history[0].Revision {
			m.vms[n].Replace(time.Now(), prefix, s.list(prefix), s.version)
			continue
		}
		var changes []storer.Change
		for _, c := range s.history {
			if c.Revision > known.Revision && strings.HasPrefix(c.Key, prefix) {
				changes = append(changes, c)
			}
		}
		m.vms[n].Apply(time.Now(), prefix, changes, s.version)
	}
}

func (m *modelRun) link(a, b int) *relayed {
	key := [2]int{a % modelWatchers, modelWatchers + b%(modelVMs-modelWatchers-1)}
	if m.links[key] == nil {
		m.links[key] = &relayed{versions: m.vms[key[1]].Versions()}
	}
	return m.links[key]
}

func (m *modelRun) send(a, b int) {
	l := m.link(a, b)
	var updates []informer.Update
	updates, l.position = m.vms[a%modelWatchers].Updates(time.Now(), l.position, l.versions)
	l.queue = append(l.queue, updates...)
}

// receive applies what a relay has sent. A VM that stays behind it subscribes again, as
// relayer.Client does.
func (m *modelRun) receive(a, b int) {
	l, vm := m.link(a, b), m.vms[modelWatchers+b%(modelVMs-modelWatchers-1)]
	behind := false
	for _, u := range l.queue {
		vm.ApplyUpdate(time.Now(), u)
		behind = behind || u.Version().After(vm.Version(u.Prefix))
	}
	l.queue = nil
	if behind {
		m.reconnect(a, b)
	}
}

func (m *modelRun) reconnect(a, b int) {
	delete(m.links, [2]int{a % modelWatchers, modelWatchers + b%(modelVMs-modelWatchers-1)})
}

func (m *modelRun) exchange(from, to int) {
	for _, r := range m.vms[from%modelVMs].NewerReplicas(m.vms[to%modelVMs].Versions()) {
		m.vms[to%modelVMs].ApplyReplica(time.Now(), r)
	}
}

func (m *modelRun) apply(s modelStep) {
	m.write(s)
	m.transfer(s)
}

// write handles the steps at the store.
func (m *modelRun) write(s modelStep) {
	n := s.a % modelUpstreams
	switch s.kind {
	case "configure":
		m.configuration++
		m.writeAgain()
	case "name_weights":
		m.weights++
		m.store.put("op/version/m", fmt.Sprintf(`{"model":"m","version":%d}`, m.weights))
	case "drain", "end":
		next := map[string]string{"drain": "draining", "end": "gone"}[s.kind]
		if m.upstreams[n].state != "gone" {
			m.upstreams[n].state = next
			m.writeUpstream(n)
		}
	case "start":
		if m.upstreams[n].state == "gone" {
			m.upstreams[n] = modelUpstream{m.upstreams[n].born + 1, "ready"}
			m.writeUpstream(n)
		}
	case "copy":
		m.copies = append(m.copies, m.store.copy())
	case "restore":
		m.store.restore(m.copies[len(m.copies)-1-s.a%len(m.copies)], uint64(1+s.b%2))
	case "write_again":
		m.writeAgain()
	}
}

// transfer handles the steps by which VMs learn of the store's state.
func (m *modelRun) transfer(s modelStep) {
	switch s.kind {
	case "watch":
		m.read(s.a%modelWatchers, m.store)
	case "keep_response":
		m.kept = append(m.kept, m.store.copy())
	case "late_response":
		if len(m.kept) > 0 {
			m.read(s.a%modelWatchers, m.kept[s.b%len(m.kept)])
		}
	case "send":
		m.send(s.a, s.b)
	case "receive":
		m.receive(s.a, s.b)
	case "reconnect":
		m.reconnect(s.a, s.b)
	case "exchange":
		m.exchange(s.a, s.b)
	case "wait":
		time.Sleep(time.Duration(s.a) * 100 * time.Millisecond)
	}
}

// check records what went back on a VM.
func (m *modelRun) check(s modelStep) {
	for n, i := range m.vms {
		if matcher := i.Matcher(); matcher != nil {
			version := matcher.Configuration().Version
			if version < m.highest[n] {
				m.violations = append(m.violations, fmt.Sprintf("VM %d: configuration %d after %d at %v", n, version, m.highest[n], s))
			}
			m.highest[n] = version
		}
		usable := make(map[string]bool)
		for _, u := range i.Usable("s") {
			usable[fmt.Sprintf("%s/%d", u.ID, u.StartedAt.UnixMilli())] = true
		}
		for process := range m.usable[n] {
			if !usable[process] && !m.ready()[process] {
				m.left[n][process] = true
			}
		}
		for process := range usable {
			if m.left[n][process] {
				m.violations = append(m.violations, fmt.Sprintf("VM %d: upstream %s is back at %v", n, process, s))
			}
		}
		m.usable[n] = usable
	}
}

// ready returns the processes that are ready.
func (m *modelRun) ready() map[string]bool {
	ready := make(map[string]bool)
	for n, u := range m.upstreams {
		if u.state == "ready" {
			ready[fmt.Sprintf("u%d/%d", n, u.born)] = true
		}
	}
	return ready
}

// calm has all writers write again, and later the upstreams at their heartbeats, and all
// VMs hear of it.
func (m *modelRun) calm() {
	for range 2 {
		m.writeAgain()
		for n := range modelWatchers {
			m.read(n, m.store)
		}
		for n := range modelVMs - modelWatchers - 1 {
			m.send(n, n)
			m.receive(n, n)
		}
		m.exchange(0, modelVMs-1)
	}
	time.Sleep(3 * time.Second)
	m.check(modelStep{kind: "calm"})
	for n, i := range m.vms {
		if got := m.highest[n]; got != uint64(m.configuration) {
			m.violations = append(m.violations, fmt.Sprintf("VM %d: configuration %d, want %d", n, got, m.configuration))
		}
		if got := i.DesiredWeights()["m"].Version; got != uint64(m.weights) {
			m.violations = append(m.violations, fmt.Sprintf("VM %d: weights %d, want %d", n, got, m.weights))
		}
		if want := m.ready(); !maps.Equal(m.usable[n], want) {
			m.violations = append(m.violations, fmt.Sprintf("VM %d: upstreams %v, want %v", n, m.usable[n], want))
		}
	}
}

// TestViewsUnderRandomRestores runs random schedules of writes, restores, responses that
// arrive late, relays and exchanges between VMs. What a VM knows never goes back, and all
// know the newest state once the store is calm.
func TestViewsUnderRandomRestores(t *testing.T) {
	t.Parallel()
	step := rapid.Custom(func(t *rapid.T) modelStep {
		return modelStep{rapid.SampledFrom(modelKinds).Draw(t, "kind"), rapid.IntRange(0, 30).Draw(t, "a"), rapid.IntRange(0, 30).Draw(t, "b")}
	})
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(step, 1, 60).Draw(r, "steps")
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			m := newModelRun(t.Context())
			for _, s := range steps {
				m.apply(s)
				m.check(s)
			}
			m.calm()
			violations = m.violations
		})
		if len(violations) > 0 {
			r.Fatalf("%s", strings.Join(violations, "\n"))
		}
	})
}
