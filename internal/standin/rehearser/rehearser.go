package rehearser

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/picker"
)

var errUnknown = errors.New("not known")

const (
	// lookAgain is how often a request that waits looks at the engines.
	lookAgain = 20 * time.Millisecond
	// patienceShare is the part of the objective after which it is turned away.
	patienceShare = 0.125
	// returnAfter is when a client that was turned away comes back, once.
	returnAfter = time.Second
)

// Result is what a policy made of a load.
type Result struct {
	Load   string `json:"load"`
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// Requests counts all, InTime, Late and Refused what became of them; the
	// rest failed.
	Requests int `json:"requests"`
	InTime   int `json:"in_time"`
	Late     int `json:"late"`
	Refused  int `json:"refused"`
	// Worth is the benefit earned, Owed that of all answers in time, and Bound
	// what no scheduler can pass.
	Worth float64 `json:"worth"`
	Owed  float64 `json:"owed"`
	Bound float64 `json:"bound"`
	// Read sums the tokens that engines read, Again those of shared parts that
	// another engine held.
	Read  int `json:"read"`
	Again int `json:"again"`
	// Seconds holds what was owed and earned for the requests of each second.
	Seconds []Second `json:"seconds"`
}

// Second is the benefit of the requests that came in one second.
type Second struct {
	Owed   float64 `json:"owed"`
	Earned float64 `json:"earned"`
}

// Share is the part of what was owed that was earned, 1 where nothing was.
func (s Second) Share() float64 {
	if s.Owed == 0 {
		return 1
	}
	return s.Earned / s.Owed
}

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order int
	do    func(now time.Duration)
}

// events is a heap, the next one first.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) } //nolint:forcetypeassert // Only schedule pushes.

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// rehearsal is one policy under one load.
type rehearsal struct {
	load      *Load
	rng       *rand.Rand
	epoch     time.Time
	engines   []*engine
	upstreams []*registrar.Upstream
	index     map[string]int
	policies  []policy
	events    events
	scheduled int
	// loads is what each VM has at each engine, told what the others were last
	// told of it.
	loads, told [][]picker.Load
	result      Result
}

// Play plays a load under a policy.
func Play(l *Load, policy string, seed uint64) (Result, error) {
	r := &rehearsal{
		load:   l,
		rng:    rand.New(rand.NewPCG(seed, 1)),
		epoch:  time.Unix(0, 0),
		index:  make(map[string]int),
		result: Result{Load: l.Name, Policy: policy, Seed: seed, Seconds: make([]Second, l.Seconds)},
	}
	for n := range l.Engines.Count {
		region := n % l.Engines.Regions
		e, err := newEngine(&l.Engines, region)
		if err != nil {
			return Result{}, fmt.Errorf("engine: %w", err)
		}
		r.engines = append(r.engines, e)
		u := &registrar.Upstream{
			ID: fmt.Sprintf("e%03d", n), AvailabilityZone: zone(region), Slots: l.Engines.Slots,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 80),
		}
		r.upstreams = append(r.upstreams, u)
		r.index[u.ID] = n
	}
	for vm := range l.VMs {
		p, err := newPolicy(r, policy, vm, seed+uint64(vm)) //nolint:gosec // A VM's number is small.
		if err != nil {
			return Result{}, err
		}
		r.policies = append(r.policies, p)
		r.loads = append(r.loads, make([]picker.Load, l.Engines.Count))
		r.told = append(r.told, make([]picker.Load, l.Engines.Count))
	}
	list := l.arrivals(seed)
	for _, a := range list {
		r.result.Requests++
		r.result.Owed += a.kind.Worth
		r.second(a).Owed += a.kind.Worth
		r.schedule(a.at, func(now time.Duration) { r.place(now, a, a.at, false) })
	}
	for _, c := range l.Crashes {
		r.schedule(millis(c.AtMS), func(time.Duration) { r.crash(c) })
	}
	r.schedule(0, r.tell)
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event) //nolint:forcetypeassert // Only schedule pushes.
		e.do(e.at)
	}
	r.result.Bound = l.bound(list)
	return r.result, nil
}

func (r *rehearsal) schedule(at time.Duration, do func(time.Duration)) {
	r.scheduled++
	heap.Push(&r.events, event{at: at, order: r.scheduled, do: do})
}

// tell tells every VM what the others have in flight.
func (r *rehearsal) tell(now time.Duration) {
	for vm := range r.loads {
		copy(r.told[vm], r.loads[vm])
	}
	if next := now + max(millis(r.load.NewsMS), time.Millisecond); next < r.load.end() {
		r.schedule(next, r.tell)
	}
}

// others is what a VM knows of the requests of others at an engine.
func (r *rehearsal) others(vm, engine int) picker.Load {
	var sum picker.Load
	for other := range r.told {
		if other != vm {
			sum = sum.Plus(r.told[other][engine])
		}
	}
	return sum
}

// known is what a VM knows of all requests at an engine.
func (r *rehearsal) known(vm, engine int) picker.Load {
	return r.others(vm, engine).Plus(r.loads[vm][engine])
}

// place finds an engine for a request that its VM got at a time.
func (r *rehearsal) place(now time.Duration, a arrival, got time.Duration, returned bool) {
	p, ok := r.policies[a.vm].choose(now, a)
	if ok {
		r.send(now, a, p)
		return
	}
	patience := time.Duration(patienceShare * float64(millis(a.kind.ObjectiveMS)))
	switch {
	case now-got < patience:
		r.schedule(now+lookAgain, func(now time.Duration) { r.place(now, a, got, returned) })
	case returned:
		r.result.Refused++
	default:
		back := now + returnAfter/2 + time.Duration(r.rng.Int64N(int64(returnAfter)))
		r.schedule(back, func(now time.Duration) { r.place(now, a, now, true) })
	}
}

func (r *rehearsal) send(now time.Duration, a arrival, p placing) {
	e := r.engines[p.engine]
	copied := time.Duration(0)
	if p.from >= 0 && e.holds(a.subject) == 0 && r.engines[p.from].holds(a.subject) > 0 {
		copied = e.copying(r.engines[p.from], a.kind.Shared)
	}
	if a.kind.Shared > 0 && copied == 0 && e.holds(a.subject) == 0 && r.heldElsewhere(a.subject) {
		r.result.Again += a.kind.Shared
	}
	first, read := e.read(now, a, copied)
	r.result.Read += read
	incarnation := e.incarnation
	load := &r.loads[a.vm][p.engine]
	load.InFlight++
	load.PromptTokens += read
	r.schedule(first, func(now time.Duration) {
		load.PromptTokens -= read
		r.policies[a.vm].begun(p)
		if e.incarnation == incarnation {
			r.count(a, now)
		}
	})
	r.schedule(first+time.Duration(a.kind.Output)*e.step(), func(time.Duration) {
		load.InFlight--
		r.policies[a.vm].done(p)
	})
}

func (r *rehearsal) heldElsewhere(subject string) bool {
	for _, e := range r.engines {
		if e.holds(subject) > 0 {
			return true
		}
	}
	return false
}

// count notes the first token of an answer.
func (r *rehearsal) count(a arrival, now time.Duration) {
	took := now - a.at
	switch {
	case took <= millis(a.kind.ObjectiveMS):
		r.result.InTime++
	case took <= millis(a.kind.PatienceMS):
		r.result.Late++
	}
	r.result.Worth += a.kind.worth(took)
	r.second(a).Earned += a.kind.worth(took)
}

// second is the one in which a request came.
func (r *rehearsal) second(a arrival) *Second {
	return &r.result.Seconds[int(a.at/time.Second)]
}

func (r *rehearsal) crash(c Crash) {
	n := int(c.Share * float64(len(r.engines)))
	for _, i := range r.rng.Perm(len(r.engines))[:n] {
		r.engines[i].crash(millis(c.AtMS + c.ForMS))
	}
}
