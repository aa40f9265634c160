package rehearser

import (
	"fmt"
	"slices"
	"time"

	"gentianstep.example/gentianstep/internal/routing/picker"
	"gentianstep.example/gentianstep/internal/routing/shedder"
)

const (
	// longPromptTokens, shedWaitShare, minReturnAfter and returnJitterShare are those of
	// the gateway.
	longPromptTokens  = 2500
	shedWaitShare     = 0.75
	minReturnAfter    = 300 * time.Millisecond
	returnJitterShare = 0.8
	paceGain          = 0.1
)

// pending is a request that waits at its VM.
type pending struct {
	arrival  arrival
	received time.Duration
	repeated bool
	request  shedder.Request
	// work is the estimate of an engine, 0 for the pace of the kind.
	work time.Duration
}

// pace holds moving averages of the times of requests at engines.
type pace struct{ firstEvent, hold time.Duration }

func (p *pace) observe(firstEvent, hold time.Duration) {
	if p.hold == 0 {
		p.firstEvent, p.hold = firstEvent, hold
	}
	p.firstEvent += time.Duration(paceGain * float64(firstEvent-p.firstEvent))
	p.hold += time.Duration(paceGain * float64(hold-p.hold))
}

// line holds the requests that wait at one VM, as the gateway does.
type line struct {
	waiting     []*pending
	polls       bool
	paces       map[*Kind]*pace
	all         pace
	usage       shedder.Usage
	inFlight    int
	returnsFrom time.Time
}

func (l *line) paceOf(k *Kind) *pace {
	p, ok := l.paces[k]
	if !ok {
		p = &pace{}
		l.paces[k] = p
	}
	return p
}

// receive handles a request that arrives at its VM, for the first or the second time.
func (r *simulation) receive(now time.Duration, a arrival, repeated bool) {
	if r.lines == nil {
		r.place(now, a, now, repeated)
		return
	}
	p := &pending{arrival: a, received: now, repeated: repeated, request: shedder.Request{
		ID: fmt.Sprint(a.at, a.kind.Name), Organisation: a.kind.Organisation, Priority: a.kind.Priority,
		ArrivedAt: r.epoch.Add(now), DueAt: r.epoch.Add(now + millis(a.kind.ObjectiveMS)),
		StartBy:  r.epoch.Add(now + time.Duration(shedWaitShare*float64(millis(a.kind.ObjectiveMS)))),
		Deadline: r.epoch.Add(a.at + millis(a.kind.PatienceMS)),
	}}
	r.try(now, p)
}

// try sends a request, or decides whether it waits or is refused.
func (r *simulation) try(now time.Duration, p *pending) {
	a, l := p.arrival, r.lines[p.arrival.vm]
	policy := r.policies[a.vm].(*prefixCost) //nolint:forcetypeassert // Only this policy has lines.
	p.request.Overuse = l.usage.Overuse(r.epoch.Add(now), a.kind.Organisation)
	if slices.ContainsFunc(l.waiting, func(w *pending) bool { return shedder.Outranks(r.epoch.Add(now), &w.request, &p.request) }) {
		policy.last = picker.Choice{Reason: picker.Outranked}
	} else if chosen, ok := policy.choose(now, a); ok {
		r.countArrival(now, a.vm, chosen.engine)
		if r.arrive(now, a.vm, chosen.engine) {
			l.inFlight++
			l.usage.Record(r.epoch.Add(now), a.kind.Organisation, float64(a.kind.SharedTokens+a.ownTokens+a.kind.OutputTokens))
			r.send(now, a, chosen)
			return
		}
		policy.prefillEnded(chosen)
		policy.requestEnded(chosen)
		r.respondRefusal(now, a.vm, chosen.engine)
	}
	c := policy.last
	long := c.Reason == picker.Behind && c.PromptTokens >= longPromptTokens
	p.request.StartAt = r.epoch.Add(now)
	if c.Reason == picker.Behind {
		p.work = c.Costs.Prefill + c.Costs.Fetch
	}
	if long {
		p.request.StartAt = r.epoch.Add(now + c.Backlog)
	}
	if long && now-p.received >= time.Duration(maxWaitShare*float64(millis(a.kind.ObjectiveMS))) {
		r.shedOne(p, now+meanBackOff/2+time.Duration(r.rng.Int64N(int64(meanBackOff))), false)
		return
	}
	r.shed(now, p)
}

// shed weighs a request against those that wait at its VM.
func (r *simulation) shed(now time.Duration, p *pending) {
	l, at := r.lines[p.arrival.vm], r.epoch.Add(now)
	l.waiting = append(l.waiting, p)
	requests := make([]*shedder.Request, 0, len(l.waiting))
	waiting := make(map[*shedder.Request]*pending, len(l.waiting))
	for _, w := range l.waiting {
		pace := l.paceOf(w.arrival.kind)
		w.request.Hold, w.request.Work = pace.hold, w.work
		if w.work == 0 {
			w.request.Work = pace.firstEvent
		}
		l.usage.Touch(at, w.request.Organisation)
		w.request.Overuse = l.usage.Overuse(at, w.request.Organisation)
		requests, waiting[&w.request] = append(requests, &w.request), w
	}
	plan := shedder.Decide(at, requests, shedder.Capacity{Lanes: float64(max(l.inFlight, 1)), ReturnsFrom: l.returnsFrom, MinReturnAfter: minReturnAfter})
	l.returnsFrom, l.waiting = plan.ReturnsFrom, l.waiting[:0]
	for _, place := range plan.Places {
		l.waiting = append(l.waiting, waiting[place.Request])
	}
	for _, refusal := range plan.Refusals {
		wait := refusal.ReturnAt.Sub(at)
		wait += time.Duration(r.rng.Int64N(int64(returnJitterShare*float64(wait)) + 1))
		r.shedOne(waiting[refusal.Request], now+wait, refusal.Final)
	}
	if len(l.waiting) > 0 && !l.polls {
		l.polls = true
		r.schedule(now+retryInterval, func(now time.Duration) { r.poll(now, p.arrival.vm) })
	}
}

// shedOne refuses a request, whose client returns once.
func (r *simulation) shedOne(p *pending, returnAt time.Duration, final bool) {
	if p.repeated || final {
		r.result.Refused++
		return
	}
	r.schedule(returnAt, func(now time.Duration) { r.receive(now, p.arrival, true) })
}

// poll lets all requests that wait at a VM try again, in their order.
func (r *simulation) poll(now time.Duration, vm int) {
	l := r.lines[vm]
	waiting := slices.Clone(l.waiting)
	slices.SortFunc(waiting, func(a, b *pending) int { return shedder.Compare(r.epoch.Add(now), &a.request, &b.request) })
	l.waiting, l.polls = nil, false
	for _, p := range waiting {
		r.try(now, p)
	}
}

// ended records that a request of a VM has ended at its engine.
func (r *simulation) ended(now, sentAt, firstToken time.Duration, a arrival) {
	if r.lines == nil {
		return
	}
	l := r.lines[a.vm]
	l.inFlight--
	l.all.observe(firstToken-sentAt, now-sentAt)
	l.paceOf(a.kind).observe(firstToken-sentAt, now-sentAt)
}
