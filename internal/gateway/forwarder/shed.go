package forwarder

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/routing/picker"
	"gentianstep.example/gentianstep/internal/routing/shedder"
)

const (
	// returnJitterShare is the share of the time to return over which a client is
	// spread, since other VMs refuse clients at the same time.
	returnJitterShare = 0.8
	// lateEnginePriority is the priority, the least urgent, at which engines get
	// prompts that are late, so that they delay none that is in time.
	lateEnginePriority = 9
)

// weighed describes what a refused request was weighed against, for the log.
type weighed struct {
	// ahead is the number of requests that go before it, first the ID of the
	// first one.
	ahead int
	first string
	// wait is the estimated wait.
	wait time.Duration
}

func (w *weighed) addFields(fields logrus.Fields) {
	if w == nil {
		return
	}
	fields["ahead"], fields["estimated_wait_ms"] = w.ahead, w.wait.Milliseconds()
	if w.first != "" {
		fields["first_ahead"] = w.first
	}
}

// newWaiter returns the waiter of a request that is refused at latest.
func (x *exchange) newWaiter(latest time.Time) *waiter {
	r := shedder.Request{
		ID:        x.request.ID,
		Priority:  x.priority(),
		ArrivedAt: x.arrivedAt,
		StartBy:   latest,
		Deadline:  x.deadline,
	}
	if x.organisation != nil {
		r.Organisation = x.organisation.Name
	}
	if x.route.TargetLatency > 0 && !x.response.begun() {
		r.DueAt = x.arrivedAt.Add(x.route.TargetLatency)
	}
	return &waiter{request: r}
}

// isLong reports whether the prompt takes an engine long enough to delay others.
func (x *exchange) isLong() bool { return x.choice.PromptTokens >= urgentPromptTokens }

// backlogWaitEnded reports whether a prompt has waited long enough for engines that are
// too far behind. A short one waits on for a free slot while the shedder keeps its
// place: the picker's estimate of the time that requests hold a slot is up to several
// times too long for short ones, and would refuse some that can be in time.
func (x *exchange) backlogWaitEnded(now time.Time) bool {
	if x.choice.Reason != picker.Behind || x.choice.QueueTooLong && !x.isLong() {
		return false
	}
	return now.Sub(x.arrivedAt) >= x.maxBacklogWait()
}

// isOutranked reports whether a request that goes first waits for capacity of the service.
func (x *exchange) isOutranked(now time.Time, w *waiter) bool {
	q := x.queue()
	w.request.Overuse = q.usage.Overuse(now, w.request.Organisation)
	return slices.ContainsFunc(q.waiters, func(other *waiter) bool {
		return other.competes && shedder.Outranks(now, &other.request, &w.request)
	})
}

// chooseInOrder chooses an upstream unless a request that goes first waits for one.
func (x *exchange) chooseInOrder(now time.Time, w *waiter) picker.Query {
	q := x.choose(now)
	if x.choice.Upstream != nil && x.isOutranked(now, w) {
		x.choice = picker.Choice{Reason: picker.Outranked, Candidates: x.choice.Candidates}
	}
	return q
}

// recheckAt returns when a request that found no capacity tries again, unless it is woken.
func (x *exchange) recheckAt(now, latest time.Time) time.Time {
	switch x.choice.Reason {
	case picker.Behind, picker.Outranked:
		latest = earlierTime(latest, now.Add(backlogPollInterval))
	case picker.Full:
		latest = earlierTime(latest, now.Add(fullPollInterval))
	}
	return x.accessChangeAt(now, latest)
}

// estimate sets the estimates of a request that found no capacity. Those of short
// prompts and plain requests are measured at this VM.
func (x *exchange) estimate(now time.Time, w *waiter, q *waitQueue) {
	w.pace = q.paceOf(x.route.Name)
	w.competes = x.choice.Reason != picker.NoUpstream
	w.request.StartAt = now
	if x.choice.Reason == picker.Behind {
		// The pace includes queues of engines, which a request that is held back avoids.
		w.work = x.choice.Costs.Prefill + x.choice.Costs.Fetch
		if x.isLong() {
			w.request.StartAt = now.Add(x.choice.Backlog)
		}
	}
	q.usage.Touch(now, w.request.Organisation)
	q.refresh(now, w)
}

// refresh updates what changes while a request waits. All requests are weighed by the
// same measurements, else those that arrived before the start of a flood would go first.
func (q *waitQueue) refresh(now time.Time, w *waiter) {
	r := &w.request
	r.Hold, r.Work = w.pace.hold, w.work
	if w.work == 0 {
		r.Work = w.pace.firstEvent
	}
	r.Overuse = q.usage.Overuse(now, r.Organisation)
}

// shed weighs a request against those that wait for capacity of its service and returns
// its refusal, or nil if it should wait. On arrival it lets those try again that are to
// be refused in its favour. The caller holds x.mu.
func (x *exchange) shed(now time.Time, w *waiter, arrival bool) *classifier.Error {
	q := x.queue()
	x.estimate(now, w, q)
	if !w.competes {
		return nil
	}
	requests := []*shedder.Request{&w.request}
	waiters := make(map[*shedder.Request]*waiter, len(q.waiters))
	for _, other := range q.waiters {
		if other.competes {
			q.refresh(now, other)
			requests, waiters[&other.request] = append(requests, &other.request), other
		}
	}
	plan := shedder.Decide(now, requests, shedder.Capacity{
		Lanes: float64(max(q.inFlight, 1)), ReturnsFrom: q.returnsFrom, MinReturnAfter: minRetryAfter,
	})
	for _, refusal := range plan.Refusals {
		if refusal.Request == &w.request {
			q.returnsFrom = plan.ReturnsFrom
			return x.shedError(now, refusal)
		}
		if arrival {
			q.wake(waiters[refusal.Request])
		}
	}
	return nil
}

// shedError returns the error of a refused request and keeps what it was weighed
// against.
func (x *exchange) shedError(now time.Time, r shedder.Refusal) *classifier.Error {
	x.weighed = &weighed{ahead: r.Ahead, wait: r.StartAt.Sub(now)}
	if r.First != nil {
		x.weighed.first = r.First.ID
	}
	err := classifier.New(classifier.Overloaded, "requests that go first take the capacity of %s", x.service)
	err.RetryAt = r.ReturnAt.Add(rand.N(time.Duration(returnJitterShare*float64(r.ReturnAt.Sub(now))) + 1))
	err.Final = r.Final || err.RetryAt.After(x.deadline.Add(-minSendTime))
	return err
}

// weighAhead describes the requests that go before a refused one while they wait.
func (x *exchange) weighAhead(now time.Time, w *waiter, wait time.Duration) *weighed {
	result := &weighed{wait: wait}
	q := x.queue()
	x.estimate(now, w, q)
	var first *shedder.Request
	for _, other := range q.waiters {
		if shedder.Compare(now, &other.request, &w.request) >= 0 {
			continue
		}
		result.ahead++
		if first == nil || shedder.Compare(now, &other.request, first) < 0 {
			first = &other.request
		}
	}
	if first != nil {
		result.first = first.ID
	}
	return result
}

// recordSent counts a request at its upstream and the tokens of its organisation.
func (x *exchange) recordSent(now time.Time) {
	q := x.queue()
	q.inFlight++
	if x.organisation != nil {
		prompt := x.request.Prompt
		q.usage.Record(now, x.organisation.Name, max(float64(prompt.Tokens)+float64(prompt.MaxTokens), 1))
	}
}

// enginePriority returns the priority at which the engine queues the request.
func (x *exchange) enginePriority(now time.Time) int {
	costs := x.choice.Costs
	left := x.remainingObjective(now)
	if left > 0 && costs.Queue+costs.Prefill+costs.Fetch > left {
		return lateEnginePriority
	}
	return x.priority()
}
