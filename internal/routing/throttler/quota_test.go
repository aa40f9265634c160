package throttler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gentianstep.example/gentianstep/internal/testing/scripter"
)

const (
	quotaWindow = 8 * time.Second
	quotaOver   = 0.1
	// quotaTick is the step of the model, quotaWait the longest wait of a request.
	quotaTick    = 10 * time.Millisecond
	quotaWait    = 250 * time.Millisecond
	organisation = "o"
)

// quotaRow is a fleet and an organisation with a quota.
type quotaRow struct {
	Name      string  `json:"name"`
	VMs       int     `json:"vms"`
	PerSecond float64 `json:"per_second"`
	// Requests is true if the quota counts requests.
	Requests bool `json:"requests"`
	// Load is what the organisation sends, in its quota, after CalmS seconds at a half. AtOne is
	// the part that arrives at one VM, Long that of long prompts.
	Load  float64 `json:"load"`
	CalmS float64 `json:"calm_s"`
	AtOne float64 `json:"at_one"`
	Long  float64 `json:"long"`
	// Lowered is the part of the quota that holds from the middle on.
	Lowered float64 `json:"lowered"`
	// Hubs, Hubless, Cuts, Restarts, Held and HubMovesMS are as in modelRow.
	Hubs       int     `json:"hubs"`
	Hubless    float64 `json:"hubless"`
	Cuts       float64 `json:"cuts"`
	Restarts   float64 `json:"restarts"`
	Held       float64 `json:"held"`
	HubMovesMS int     `json:"hub_moves_ms"`
	// LostS is the time after which no VM has a hub.
	LostS int `json:"lost_s"`
	// MinUsed is the least share of the quota that is used, MaxRefused the largest share of
	// requests that are refused.
	MinUsed    float64 `json:"min_used"`
	MaxRefused float64 `json:"max_refused"`
}

// quotaVM is one VM of the model. Its embedded fields are those of the model of limits.
type quotaVM struct {
	modelVM

	credits *Credits
	waiting []waitingAmount
}

type waitingAmount struct {
	amount float64
	until  time.Time
}

type quotaModel struct {
	model

	row     quotaRow
	config  QuotaConfig
	quotas  map[string]Quota
	vms     []*quotaVM
	used    []expiringAmount // amount and time of use
	arrived int
	refused int
}

// TestSumOverAllVMsStaysWithinQuota guards against organisations that use more than their
// quota through many VMs, whoever their hub is, and against refusals of one that stays below it.
func TestSumOverAllVMsStaysWithinQuota(t *testing.T) {
	t.Parallel()
	var rows []quotaRow
	scripter.Read(t, "testdata/quotas.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			for run := range modelRuns {
				m := newQuotaModel(row, uint64(modelSeed+run))
				m.play()
				m.check(t, run)
			}
		})
	}
}

func newQuotaModel(row quotaRow, seed uint64) *quotaModel {
	row.Hubs = max(row.Hubs, 1)
	m := &quotaModel{row: row, model: model{rng: rand.New(rand.NewPCG(seed, 1))}}
	m.model.row.Held = row.Held
	m.config = QuotaConfig{PerSecond: row.PerSecond, Burst: row.PerSecond, Over: quotaOver, Slack: 190000}
	if row.Requests {
		m.config.Slack = row.PerSecond * 2
	}
	m.quotas = map[string]Quota{organisation: NewQuota(m.config)}
	for n := range row.VMs {
		m.fleet = append(m.fleet, fmt.Sprint("vm", n))
	}
	for n, node := range m.fleet {
		vm := &quotaVM{modelVM: modelVM{node: node, hub: n % row.Hubs}}
		if float64(n) < row.Hubless*float64(row.VMs) {
			vm.hub = -1
		}
		m.start(modelStart, vm)
		m.vms = append(m.vms, vm)
	}
	m.moveHubs(modelStart)
	return m
}

func (m *quotaModel) start(now time.Time, vm *quotaVM) {
	vm.credits, vm.waiting = NewCredits(), nil
	vm.credits.SetFleet(now, NewFleet(vm.node, m.fleet))
	vm.credits.SetQuotas(now, m.quotas)
	vm.newSession()
}

func (m *quotaModel) moveHubs(now time.Time) {
	m.hubs = nil
	for range m.row.Hubs {
		a := NewAllocator[[2]int]()
		a.SetFleet(now, NewFleet("", m.fleet))
		a.SetQuotas(now, m.quotas)
		m.hubs = append(m.hubs, a)
	}
	for _, vm := range m.vms {
		vm.credits.EndHub(now)
		vm.newSession()
	}
}

func (m *quotaModel) play() {
	nextMove := modelStart.Add(time.Duration(m.row.HubMovesMS) * time.Millisecond)
	for now := modelStart; now.Before(modelStart.Add(modelRun)); now = now.Add(quotaTick) {
		if m.row.HubMovesMS > 0 && !now.Before(nextMove) {
			m.moveHubs(now)
			nextMove = now.Add(time.Duration(m.row.HubMovesMS) * time.Millisecond)
		}
		if m.row.Lowered > 0 && now.Equal(modelStart.Add(modelRun/2)) {
			m.lower(now)
		}
		if m.row.LostS > 0 && now.Equal(modelStart.Add(time.Duration(m.row.LostS)*time.Second)) {
			m.loseHubs()
		}
		m.deliver(now)
		m.arrive(now)
		for n, vm := range m.vms {
			m.disturb(now, n, vm)
			m.serve(now, vm)
			if now.Sub(modelStart)%reportEvery == 0 {
				m.report(now, n, vm)
			}
		}
		if now.Sub(modelStart)%pushEvery == 0 {
			m.push(now)
		}
	}
}

func (m *quotaModel) loseHubs() {
	for _, vm := range m.vms {
		vm.hub = -1
		vm.newSession()
	}
}

func (m *quotaModel) lower(now time.Time) {
	m.config.PerSecond *= m.row.Lowered
	m.config.Burst *= m.row.Lowered
	m.quotas = map[string]Quota{organisation: NewQuota(m.config)}
	for _, hub := range m.hubs {
		hub.SetQuotas(now, m.quotas)
	}
	for _, vm := range m.vms {
		vm.credits.SetQuotas(now, m.quotas)
	}
}

// arrive adds the requests of a tick.
func (m *quotaModel) arrive(now time.Time) {
	load := m.row.Load
	if now.Sub(modelStart).Seconds() < m.row.CalmS {
		load = 0.5
	}
	for due := load * m.row.PerSecond * quotaTick.Seconds(); ; {
		amount := m.amount()
		if m.rng.Float64() >= due/amount {
			return
		}
		due -= amount
		m.arrived++
		vm := m.vms[m.rng.IntN(len(m.vms))]
		if m.rng.Float64() < m.row.AtOne {
			vm = m.vms[0]
		}
		if at := vm.credits.RoomAt(now, organisation, amount); at.After(now.Add(quotaWait)) {
			m.refused++
			continue
		}
		vm.waiting = append(vm.waiting, waitingAmount{amount, now.Add(quotaWait)})
	}
}

func (m *quotaModel) amount() float64 {
	long := m.row.Long
	if long == 0 {
		long = 0.05
	}
	switch {
	case m.row.Requests:
		return 1
	case m.rng.Float64() < long:
		return 8000 + 18000*m.rng.Float64()
	}
	return 200 + 400*m.rng.Float64()
}

// serve lets the first requests of a VM run, and refuses those that have waited long.
func (m *quotaModel) serve(now time.Time, vm *quotaVM) {
	for len(vm.waiting) > 0 && vm.credits.Take(now, organisation, vm.waiting[0].amount) {
		m.used = append(m.used, expiringAmount{vm.waiting[0].amount, now})
		vm.waiting = vm.waiting[1:]
	}
	before := len(vm.waiting)
	vm.waiting = slices.DeleteFunc(vm.waiting, func(w waitingAmount) bool { return !now.Before(w.until) })
	m.refused += before - len(vm.waiting)
	first, wanted := 0.0, 0.0
	for i, w := range vm.waiting {
		if wanted += w.amount; i == 0 {
			first = w.amount
		}
	}
	vm.credits.SetDemand(organisation, first, wanted)
}

func (m *quotaModel) disturb(now time.Time, n int, vm *quotaVM) {
	if m.rng.Float64() < m.row.Cuts*quotaTick.Seconds() && vm.hub >= 0 {
		vm.cutUntil = now.Add(time.Duration(m.rng.Int64N(int64(5 * time.Second))))
		m.hubs[vm.hub].RemoveVM(now, [2]int{n, vm.session})
		if m.rng.IntN(2) == 0 { // else its messages are lost
			vm.credits.EndHub(now)
		}
		vm.newSession()
	}
	if m.rng.Float64() < m.row.Restarts*quotaTick.Seconds() {
		if vm.hub >= 0 {
			m.hubs[vm.hub].RemoveVM(now, [2]int{n, vm.session})
		}
		m.start(now, vm)
	}
}

func (m *quotaModel) report(now time.Time, n int, vm *quotaVM) {
	if vm.hub < 0 || now.Before(vm.cutUntil) {
		return
	}
	hub, key := m.hubs[vm.hub], [2]int{n, vm.session}
	reports, alone := vm.credits.Reports(now), vm.credits.hub.lost(now)
	m.events = append(m.events, modelEvent{m.delay(now, &vm.modelVM), func(at time.Time) {
		if vm.session != key[1] {
			return
		}
		hub.AddVM(at, key, vm.node, alone)
		for _, r := range reports {
			hub.RecordQuota(at, key, r)
		}
		vm.reportedAt = now
	}})
}

func (m *quotaModel) push(now time.Time) {
	for _, hub := range m.hubs {
		grants, _ := hub.AdvanceQuotas(now)
		states := []QuotaState{hub.quotas[organisation].state()}
		for n, vm := range m.vms {
			key := [2]int{n, vm.session}
			if vm.hub < 0 || m.hubs[vm.hub] != hub || hub.vms[key] == nil {
				continue
			}
			var own []QuotaGrant
			for _, g := range grants {
				if g.VM == key {
					own = append(own, g.QuotaGrant)
				}
			}
			reportedAt := vm.reportedAt
			m.events = append(m.events, modelEvent{m.delay(now, &vm.modelVM), func(at time.Time) {
				if vm.session != key[1] {
					return
				}
				vm.credits.ConfirmHub(at, reportedAt)
				for _, s := range states {
					vm.credits.ApplyState(at, s)
				}
				for _, g := range own {
					vm.credits.AddGrant(at, g, reportedAt)
				}
			}})
		}
	}
}

// check compares the use in each window with what the quota allows. A lowered quota holds
// from a window after the change on.
func (m *quotaModel) check(t *testing.T, run int) {
	t.Helper()
	from := modelStart
	if m.row.Lowered > 0 {
		from = modelStart.Add(modelRun/2 + quotaWindow)
	}
	allowed := (m.config.PerSecond*quotaWindow.Seconds()+m.config.Burst)*(1+quotaOver) + m.config.Slack
	worst, sum, total, first := 0.0, 0.0, 0.0, 0
	for _, u := range m.used {
		total += u.amount
		if u.until.Before(from) {
			first++
			continue
		}
		sum += u.amount
		for !u.until.Before(m.used[first].until.Add(quotaWindow)) {
			sum -= m.used[first].amount
			first++
		}
		worst = max(worst, sum)
	}
	refused := float64(m.refused) / float64(max(m.arrived, 1))
	share := total / modelRun.Seconds() / m.row.PerSecond
	t.Logf("run %d: at most %.0f of %.0f in a window, %.3f of the quota used, %.4f refused", run, worst, allowed, share, refused)
	if worst > allowed {
		t.Errorf("run %d: got %.0f in %v, want at most %.0f", run, worst, quotaWindow, allowed)
	}
	if share < m.row.MinUsed {
		t.Errorf("run %d: got %.3f of the quota used, want at least %.3f", run, share, m.row.MinUsed)
	}
	if refused > m.row.MaxRefused {
		t.Errorf("run %d: got %.4f of the requests refused, want at most %.4f", run, refused, m.row.MaxRefused)
	}
}
