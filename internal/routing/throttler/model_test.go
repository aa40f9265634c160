package throttler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/internal/testing/windower"
)

const (
	modelTick = 10 * time.Millisecond
	modelRun  = 40 * time.Second
	modelSeed = 20261204
	modelRuns = 5
	// reportEvery and pushEvery are the times between two reports of a VM and two messages
	// of a hub, maxDelay the longest time on a link that holds nothing back.
	reportEvery = 60 * time.Millisecond
	pushEvery   = 40 * time.Millisecond
	maxDelay    = 60 * time.Millisecond
	heldFor     = 3 * time.Second
)

var modelStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// modelRow is a fleet in front of one upstream with a limit.
type modelRow struct {
	Name      string  `json:"name"`
	VMs       int     `json:"vms"`
	PerSecond float64 `json:"per_second"`
	// Press is the chance that a VM wants to send in a tick, Pressing the number of VMs that
	// do, all if it is 0.
	Press    float64 `json:"press"`
	Pressing int     `json:"pressing"`
	// Hubs is the number of VMs that act as hub at the same time, 1 if it is 0; each VM is
	// connected to one of them. Hubless is the part of VMs that never reach one.
	Hubs    int     `json:"hubs"`
	Hubless float64 `json:"hubless"`
	// Cuts and Restarts are the chances a second that a VM loses its hub for some seconds,
	// or starts again. Held is the chance that a message is held back.
	Cuts       float64 `json:"cuts"`
	Restarts   float64 `json:"restarts"`
	Held       float64 `json:"held"`
	HubMovesMS int     `json:"hub_moves_ms"`
	// MinUsed is the least share of the limit that is used.
	MinUsed float64 `json:"min_used"`
}

// modelVM is one VM of a model.
type modelVM struct {
	node      string
	throttler *Throttler
	// hub is the number of its hub, -1 without one. session changes with each connection.
	hub      int
	session  int
	cutUntil time.Time
	// receiveAt keeps messages in order on each connection.
	receiveAt time.Time
	// reported is true once a report was sent on the connection, and reportedAt when the
	// last one that has reached the hub was sent.
	reported   bool
	reportedAt time.Time
}

// modelEvent is a message on its way.
type modelEvent struct {
	at    time.Time
	apply func(now time.Time)
}

// model plays a row.
type model struct {
	row    modelRow
	rng    *rand.Rand
	fleet  []string
	vms    []*modelVM
	hubs   []*Allocator[[2]int]
	events []modelEvent
	sent   []time.Time
}

// TestSumOverAllVMsStaysWithinLimit guards against VMs that send more than a limit allows
// in some window, whoever their hub is.
func TestSumOverAllVMsStaysWithinLimit(t *testing.T) {
	t.Parallel()
	var rows []modelRow
	scripter.Read(t, "testdata/fleets.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			for run := range modelRuns {
				m := newModel(row, uint64(modelSeed+run))
				m.play()
				m.check(t, run)
			}
		})
	}
}

func newModel(row modelRow, seed uint64) *model {
	row.Hubs = max(row.Hubs, 1)
	m := &model{row: row, rng: rand.New(rand.NewPCG(seed, 1))}
	for n := range row.VMs {
		m.fleet = append(m.fleet, fmt.Sprint("vm", n))
	}
	for n, node := range m.fleet {
		vm := &modelVM{node: node, hub: n % row.Hubs}
		if float64(n) < row.Hubless*float64(row.VMs) {
			vm.hub = -1
		}
		m.start(modelStart, vm)
		m.vms = append(m.vms, vm)
	}
	m.moveHubs(modelStart)
	return m
}

var modelProcess = Process{Upstream: "u", StartedMillis: 1}

// start gives a VM a throttler that has just received the limit.
func (m *model) start(now time.Time, vm *modelVM) {
	vm.throttler = New()
	vm.throttler.SetFleet(now, NewFleet(vm.node, m.fleet))
	vm.throttler.Record(now, modelProcess, Statement{Stated: true, Limited: true, PerSecond: m.row.PerSecond, SentAt: now, At: now})
	vm.newSession()
}

// newSession ends the connection of a VM, so that it opens another.
func (vm *modelVM) newSession() {
	vm.session, vm.reported, vm.reportedAt = vm.session+1, false, time.Time{}
}

// moveHubs replaces all hubs by others without memory.
func (m *model) moveHubs(now time.Time) {
	m.hubs = nil
	for range m.row.Hubs {
		a := NewAllocator[[2]int]()
		a.SetFleet(now, NewFleet("", m.fleet))
		m.hubs = append(m.hubs, a)
	}
	for _, vm := range m.vms {
		vm.newSession()
	}
}

func (m *model) play() {
	nextMove := modelStart.Add(time.Duration(m.row.HubMovesMS) * time.Millisecond)
	for now := modelStart; now.Before(modelStart.Add(modelRun)); now = now.Add(modelTick) {
		if m.row.HubMovesMS > 0 && !now.Before(nextMove) {
			m.moveHubs(now)
			nextMove = now.Add(time.Duration(m.row.HubMovesMS) * time.Millisecond)
		}
		m.deliver(now)
		for n, vm := range m.vms {
			m.disturb(now, n, vm)
			if now.Sub(modelStart)%reportEvery == 0 {
				m.report(now, n, vm)
			}
			if m.row.Pressing > 0 && n >= m.row.Pressing || m.rng.Float64() >= m.row.Press {
				continue
			}
			if vm.throttler.Take(now, modelProcess) {
				m.sent = append(m.sent, now)
			} else {
				vm.throttler.Want(modelProcess)
			}
		}
		if now.Sub(modelStart)%pushEvery == 0 {
			m.push(now)
		}
	}
}

// disturb cuts a VM off from its hub or starts it again, at random.
func (m *model) disturb(now time.Time, n int, vm *modelVM) {
	if m.rng.Float64() < m.row.Cuts*modelTick.Seconds() && vm.hub >= 0 {
		vm.cutUntil = now.Add(time.Duration(m.rng.Int64N(int64(5 * time.Second))))
		m.hubs[vm.hub].RemoveVM(now, [2]int{n, vm.session})
		vm.newSession()
	}
	if m.rng.Float64() < m.row.Restarts*modelTick.Seconds() {
		if vm.hub >= 0 {
			m.hubs[vm.hub].RemoveVM(now, [2]int{n, vm.session})
		}
		m.start(now, vm)
	}
}

func (m *model) delay(now time.Time, vm *modelVM) time.Time {
	at := now.Add(time.Duration(m.rng.Int64N(int64(maxDelay))))
	if m.rng.Float64() < m.row.Held {
		at = at.Add(time.Duration(m.rng.Int64N(int64(heldFor))))
	}
	if at.Before(vm.receiveAt) {
		at = vm.receiveAt
	}
	vm.receiveAt = at
	return at
}

func (m *model) report(now time.Time, n int, vm *modelVM) {
	if vm.hub < 0 || now.Before(vm.cutUntil) {
		return
	}
	hub, key := m.hubs[vm.hub], [2]int{n, vm.session}
	reports, alone := vm.throttler.Reports(!vm.reported), vm.throttler.Alone(now)
	vm.reported = true
	m.events = append(m.events, modelEvent{m.delay(now, vm), func(at time.Time) {
		if vm.session != key[1] {
			return
		}
		hub.AddVM(at, key, vm.node, alone)
		for _, r := range reports {
			hub.Record(at, key, r)
		}
		vm.reportedAt = now
	}})
}

// push sends the grants of all hubs, and a message to each VM.
func (m *model) push(now time.Time) {
	for _, hub := range m.hubs {
		grants, _ := hub.Advance(now)
		for n, vm := range m.vms {
			key := [2]int{n, vm.session}
			if vm.hub < 0 || m.hubs[vm.hub] != hub || hub.vms[key] == nil {
				continue
			}
			var own []Grant
			for _, g := range grants {
				if g.VM == key {
					own = append(own, g.Grant)
				}
			}
			reportedAt := vm.reportedAt
			m.events = append(m.events, modelEvent{m.delay(now, vm), func(at time.Time) {
				if vm.session != key[1] {
					return
				}
				vm.throttler.ConfirmHub(at, reportedAt)
				for _, g := range own {
					vm.throttler.AddGrant(at, g, reportedAt)
				}
			}})
		}
	}
}

func (m *model) deliver(now time.Time) {
	m.events = slices.DeleteFunc(m.events, func(e modelEvent) bool {
		if e.at.After(now) {
			return false
		}
		e.apply(now)
		return true
	})
}

// check compares the requests in each window with what the limit allows.
func (m *model) check(t *testing.T, run int) {
	t.Helper()
	allowed, worst := windower.Allowed(m.row.PerSecond), 0
	var window windower.Window
	for _, at := range m.sent {
		worst = max(worst, window.Add(at))
	}
	used := float64(len(m.sent)) / modelRun.Seconds()
	t.Logf("run %d: at most %d of %.1f requests in a window, %.2f a second", run, worst, allowed, used)
	if float64(worst) > allowed {
		t.Errorf("run %d: got %d requests in %v, want at most %.1f", run, worst, windower.Length, allowed)
	}
	if used < m.row.MinUsed*m.row.PerSecond {
		t.Errorf("run %d: got %.2f requests a second, want at least %.2f of %.2f", run, used, m.row.MinUsed, m.row.PerSecond)
	}
}
