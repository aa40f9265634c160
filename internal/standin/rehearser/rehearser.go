package rehearser

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/gauger"
	"gentianstep.example/gentianstep/internal/routing/picker"
	"gentianstep.example/gentianstep/internal/routing/withholder"
)

var errUnknownPolicy = errors.New("unknown policy")

const (
	// retryInterval is the interval at which a waiting request tries to find an engine.
	retryInterval = 20 * time.Millisecond
	// maxWaitShare is the share of the objective that a request waits for an engine
	// before it is rejected.
	maxWaitShare = 0.125
	// meanBackOff is the mean time, with jitter, until a client repeats a rejected
	// request. Each request is repeated once.
	meanBackOff = time.Second
)

// Result holds the outcome of one load under one policy.
type Result struct {
	Load   string `json:"load"`
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// Requests counts all requests. InTime, Late and Refused count them by outcome;
	// the remaining requests failed.
	Requests int `json:"requests"`
	InTime   int `json:"in_time"`
	Late     int `json:"late"`
	Refused  int `json:"refused"`
	// Benefit is the benefit earned, MaxBenefit the benefit if all responses were in
	// time, and Bound an upper bound for any scheduler.
	Benefit    float64 `json:"worth"`
	MaxBenefit float64 `json:"owed"`
	Bound      float64 `json:"bound"`
	// PrefillTokens is the number of prefilled tokens, RecomputedTokens the number of
	// them in shared parts that another engine had cached.
	PrefillTokens    int `json:"read"`
	RecomputedTokens int `json:"again"`
	// AfterNotices is the number of requests that reached an engine later than its VM may
	// send them, since a response had stated that the engine leaves or wants none.
	AfterNotices int `json:"after_notices"`
	// OverLimits is the number of requests that reached an engine beyond the limit that it
	// had stated to their VMs.
	OverLimits int `json:"over_limits"`
	// Seconds holds the benefit by the second in which requests arrived.
	Seconds []Second `json:"seconds"`
}

// event is a callback scheduled at a point in virtual time.
type event struct {
	at    time.Duration
	order int
	run   func(now time.Duration)
}

// events is a min-heap ordered by time, then by order of scheduling.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) } //nolint:forcetypeassert // Only events are pushed.

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is the state of one run of a load under a policy.
type simulation struct {
	load      *Load
	rng       *rand.Rand
	epoch     time.Time
	engines   []*engine
	upstreams []*registrar.Upstream
	index     map[string]int
	policies  []policy
	events    events
	scheduled int
	// loads holds the load of each VM on each engine, syncedLoads its state at the
	// last synchronisation between VMs.
	loads, syncedLoads [][]picker.Load
	// withholders hold the notices that each VM has received.
	withholders []*withholder.Withholder
	noticeRNG   *rand.Rand
	sharing     sharing
	// gauger is the hub's estimate of the speeds of engines, sums the samples of each VM.
	gauger *gauger.Gauger
	sums   []gauger.Sums
	// lines holds the waiting requests of each VM under a policy that orders them, else nil.
	lines  []*line
	result Result
}

// Simulate simulates a load under a policy. Equal seeds give equal results.
func Simulate(l *Load, policy string, seed uint64) (Result, error) {
	r := &simulation{
		load:   l,
		rng:    rand.New(rand.NewPCG(seed, 1)),
		epoch:  time.Unix(0, 0),
		index:  make(map[string]int),
		gauger: gauger.New(),
		sums:   make([]gauger.Sums, l.VMs),
		result: Result{Load: l.Name, Policy: policy, Seed: seed, Seconds: make([]Second, l.Seconds)},
	}
	for n := range l.Engines.Count {
		region := n % l.Engines.Regions
		e, err := newEngine(&l.Engines, n)
		if err != nil {
			return Result{}, fmt.Errorf("create engine: %w", err)
		}
		r.engines = append(r.engines, e)
		u := &registrar.Upstream{
			ID: fmt.Sprintf("e%03d", n), AvailabilityZone: regionName(region), Slots: l.Engines.Slots,
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
		if policy == Shedding {
			r.lines = append(r.lines, &line{paces: make(map[*Kind]*pace)})
		}
		r.loads = append(r.loads, make([]picker.Load, l.Engines.Count))
		r.syncedLoads = append(r.syncedLoads, make([]picker.Load, l.Engines.Count))
	}
	list := l.arrivals(seed)
	for _, a := range list {
		r.result.Requests++
		r.result.MaxBenefit += a.kind.Benefit
		r.secondOf(a).Requests++
		r.secondOf(a).MaxBenefit += a.kind.Benefit
		r.schedule(a.at, func(now time.Duration) { r.receive(now, a, false) })
	}
	for _, c := range l.Crashes {
		r.schedule(millis(c.AtMS), func(time.Duration) { r.crash(c) })
	}
	r.scheduleNotices(seed)
	r.scheduleLimits()
	r.schedule(0, r.syncLoads)
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event) //nolint:forcetypeassert // Only events are pushed.
		e.run(e.at)
	}
	r.result.Bound = l.bound(list)
	return r.result, nil
}

func (r *simulation) schedule(at time.Duration, run func(time.Duration)) {
	r.scheduled++
	heap.Push(&r.events, event{at: at, order: r.scheduled, run: run})
}

// syncLoads publishes the load of each VM to the other VMs and schedules the next
// synchronisation.
func (r *simulation) syncLoads(now time.Duration) {
	for vm := range r.loads {
		copy(r.syncedLoads[vm], r.loads[vm])
	}
	r.shareLimits(now)
	r.shareSpeeds(now)
	if next := now + max(millis(r.load.LoadSyncMS), time.Millisecond); next < r.load.end() {
		r.schedule(next, r.syncLoads)
	}
}

// reportedLoad returns the load of all other VMs on an engine, as of the last
// synchronisation.
func (r *simulation) reportedLoad(vm, engine int) picker.Load {
	var sum picker.Load
	for other := range r.syncedLoads {
		if other != vm {
			sum = sum.Plus(r.syncedLoads[other][engine])
		}
	}
	return sum
}

// estimatedLoad returns a VM's estimate of the total load on an engine.
func (r *simulation) estimatedLoad(vm, engine int) picker.Load {
	return r.reportedLoad(vm, engine).Plus(r.loads[vm][engine])
}

// place finds an engine for a request that its VM received at a time. It retries
// until the request has waited too long and is rejected.
func (r *simulation) place(now time.Duration, a arrival, received time.Duration, repeated bool) {
	p, ok := r.policies[a.vm].choose(now, a)
	wait := retryInterval
	if ok {
		r.countArrival(now, a.vm, p.engine)
		if r.arrive(now, a.vm, p.engine) {
			r.send(now, a, p)
			return
		}
		r.policies[a.vm].prefillEnded(p)
		r.policies[a.vm].requestEnded(p)
		r.respondRefusal(now, a.vm, p.engine)
		wait = refusalTime
	}
	maxWait := time.Duration(maxWaitShare * float64(millis(a.kind.ObjectiveMS)))
	switch {
	case now-received < maxWait:
		r.schedule(now+wait, func(now time.Duration) { r.place(now, a, received, repeated) })
	case repeated:
		r.result.Refused++
	default:
		back := now + meanBackOff/2 + time.Duration(r.rng.Int64N(int64(meanBackOff)))
		r.schedule(back, func(now time.Duration) { r.place(now, a, now, true) })
	}
}

func (r *simulation) send(sentAt time.Duration, a arrival, p placement) {
	e := r.engines[p.engine]
	copyTime := time.Duration(0)
	if p.source >= 0 && e.cachedTokensOf(a.subject) == 0 && r.engines[p.source].cachedTokensOf(a.subject) > 0 {
		copyTime = e.copyDuration(r.engines[p.source], a.kind.SharedTokens)
	}
	if a.kind.SharedTokens > 0 && copyTime == 0 && e.cachedTokensOf(a.subject) == 0 && r.isCached(a.subject) {
		r.result.RecomputedTokens += a.kind.SharedTokens
	}
	firstToken, prefillTokens := e.prefill(sentAt, a, copyTime)
	r.result.PrefillTokens += prefillTokens
	incarnation, u := e.incarnation, r.upstreams[p.engine]
	load := &r.loads[a.vm][p.engine]
	load.InFlight++
	load.PromptTokens += prefillTokens
	r.schedule(firstToken, func(now time.Duration) {
		load.PromptTokens -= prefillTokens
		r.policies[a.vm].prefillEnded(p)
		if e.incarnation == incarnation {
			r.respond(now, sentAt, a.vm, p.engine, u)
			r.stateLimit(now, sentAt, a.vm, p.engine, u)
			r.countFirstToken(a, now)
			r.sampleSpeed(a.vm, p, now-sentAt)
		}
	})
	r.schedule(firstToken+time.Duration(a.kind.OutputTokens)*e.decodeStep(sentAt), func(now time.Duration) {
		load.InFlight--
		r.ended(now, sentAt, firstToken, a)
		r.policies[a.vm].requestEnded(p)
	})
}

func (r *simulation) isCached(subject string) bool {
	for _, e := range r.engines {
		if e.cachedTokensOf(subject) > 0 {
			return true
		}
	}
	return false
}

// countFirstToken adds the first token of a response to the result.
func (r *simulation) countFirstToken(a arrival, now time.Duration) {
	latency := now - a.at
	switch {
	case latency <= millis(a.kind.ObjectiveMS):
		r.result.InTime++
		r.secondOf(a).InTime++
	case latency <= millis(a.kind.PatienceMS):
		r.result.Late++
	}
	r.result.Benefit += a.kind.benefit(latency)
	r.secondOf(a).Benefit += a.kind.benefit(latency)
}

// secondOf returns the second in which a request arrived.
func (r *simulation) secondOf(a arrival) *Second {
	return &r.result.Seconds[int(a.at/time.Second)]
}

func (r *simulation) crash(c Crash) {
	n := int(c.Share * float64(len(r.engines)))
	for _, i := range r.rng.Perm(len(r.engines))[:n] {
		r.engines[i].crash(millis(c.AtMS + c.ForMS))
	}
}
