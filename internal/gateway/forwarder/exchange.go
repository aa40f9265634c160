package forwarder

import (
	"context"
	"net/http"
	"time"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/matcher"
	"gentianstep.example/gentianstep/internal/routing/picker"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

const (
	// minSendTime is the least time before the deadline at which a request is
	// still sent; it covers the way to another region and back.
	minSendTime = 20 * time.Millisecond
	// busyFor is how long an upstream that refused work is left out.
	busyFor = 300 * time.Millisecond
	// otherRunFor is how long an address that another run has taken is left out:
	// until the entry of the former one is gone.
	otherRunFor = 5 * time.Second
	// enginePlaces and plainPlaces are the requests for each slot of an upstream
	// that all VMs together let wait or run there.
	enginePlaces = 2.0
	plainPlaces  = 3.0
	// unevenness covers that some VMs get more of the clients than others.
	unevenness = 2.0
	// minPlaces keeps a VM that shares an upstream with many others at work.
	minPlaces = 2
	// urgentTokens is the length of a prompt of which the other VMs should hear
	// at once: reading it takes an engine some 50 ms.
	urgentTokens = 2500
	// writeGrace is the time after the deadline in which a client may still take
	// what was written.
	writeGrace = 500 * time.Millisecond
	// waitShare is the part of the latency objective for which a request may
	// wait for a place.
	waitShare = 0.75
)

// exchange is one request on its way.
type exchange struct {
	*Forwarder
	w http.ResponseWriter
	r *http.Request

	request       *Request
	configuration *matcher.Configuration
	route         *matcher.Route
	organisation  *matcher.Organisation
	service       string
	body          []byte
	arrivedAt     time.Time
	deadline      time.Time

	attempts int
	// tried names the upstreams at which the request has failed.
	tried  map[string]bool
	choice picker.Choice
	// sentAt is when the latest attempt was sent.
	sentAt time.Time
	// reading is true until the upstream has read the prompt.
	reading bool
	// committed is true once the client has the head of an answer.
	committed   bool
	firstByteAt time.Time
	// lastEvent is the ID of the last event that the client has.
	lastEvent string
	events    int
	// ran is true where an upstream may have run the request.
	ran bool
}

// run sends the request until it has an answer or no attempt is left.
func (x *exchange) run() {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	defer x.boundWrites()()
	x.lastEvent = x.request.ResumeAfter
	x.mu.Lock()
	x.budget.RecordRequest(x.arrivedAt, x.service)
	x.mu.Unlock()
	for {
		u, refusal := x.choose(ctx)
		if refusal != nil {
			x.fail(ctx, refusal)
			return
		}
		err := x.attempt(ctx, u)
		if err == nil {
			return
		}
		if final := x.again(ctx, u, err); final != nil {
			x.fail(ctx, final)
			return
		}
	}
}

// boundWrites bounds the time for which a client that does not read holds its
// request. The function that it returns frees the connection for the next one.
func (x *exchange) boundWrites() func() {
	control := http.NewResponseController(x.w)
	if err := control.SetWriteDeadline(x.deadline.Add(writeGrace)); err != nil {
		x.cfg.Log.WithError(err).WithField("event", "deadline_unset").Warn("connection takes no deadline")
		return func() {}
	}
	return func() { _ = control.SetWriteDeadline(time.Time{}) } // a closed one needs none
}

// choose waits for a place at an upstream and takes it.
func (x *exchange) choose(ctx context.Context) (*registrar.Upstream, *classifier.Error) {
	latest := x.arrivedAt.Add(time.Duration(waitShare * float64(x.route.TargetLatency)))
	if latest.After(x.deadline) || x.route.TargetLatency <= 0 {
		latest = x.deadline
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	w := &waiter{rank: x.rank(), deadline: x.deadline}
	for {
		now := time.Now()
		if !now.Add(minSendTime).Before(x.deadline) {
			return nil, classifier.New(classifier.DeadlineUnmeetable, "no time is left")
		}
		q := x.query(now)
		x.choice = x.picker.Choose(now, q)
		switch {
		case x.choice.Upstream != nil:
			x.picker.Sent(now, q, x.choice)
			if x.choice.PromptTokens >= urgentTokens {
				x.overload.note(false)
				x.hurry()
			}
			return x.choice.Upstream, nil
		case x.choice.Reason == picker.NoUpstream:
			return nil, classifier.New(classifier.NoUpstream, "no upstream of %s can be used", x.service)
		case x.choice.Reason == picker.Behind && now.Sub(x.arrivedAt) >= x.patience():
			return nil, x.turnAway(now)
		case !now.Before(latest):
			return nil, classifier.New(classifier.Overloaded, "every upstream of %s is full", x.service)
		}
		until := latest
		if again := now.Add(lookAgain); x.choice.Reason == picker.Behind && again.Before(latest) {
			until = again
		}
		x.wait(ctx, x.service, w, until)
		if x.r.Context().Err() != nil {
			return nil, classifier.Wrap(classifier.CallerGone, x.r.Context().Err(), "the client left while waiting")
		}
	}
}

// hurry asks for a report to the hub.
func (f *Forwarder) hurry() {
	select {
	case f.urgent <- struct{}{}:
	default:
	}
}

// attempt sends the request once. It returns nil where the client has its
// final answer.
func (x *exchange) attempt(ctx context.Context, u *registrar.Upstream) error {
	x.reading = true
	defer x.release()
	now := time.Now()
	x.attempts++
	x.sentAt = now
	send := Send{Upstream: u.ID, Deadline: x.deadline, Rank: -1, CacheScope: x.wall(), ResumeAfter: x.lastEvent}
	if x.choice.Scope != "" {
		send.CacheScope, send.Weights = x.choice.Scope, x.choice.Weights
	}
	if x.choice.Source != nil {
		send.FetchFrom = x.choice.Source.Address
	}
	if x.choice.Save != nil {
		send.SaveTo = x.choice.Save.Address
	}
	if x.organisation != nil {
		send.Organisation = x.organisation.Name
	}
	if x.route.Generates {
		send.Rank = x.rank()
	}
	answer, err := x.cfg.Caller.Do(ctx, caller.Target{Name: u.ID, Address: u.Address}, caller.Call{
		RequestID: x.request.ID,
		Method:    x.request.Method,
		Path:      x.request.Target,
		Body:      x.body,
		Head: &caller.Head{
			Host:   x.request.Host,
			Header: x.cfg.Dialect.Encode(now, x.request, send),
			Check: func(status int, h http.Header) error {
				return x.cfg.Dialect.Check(x.request.ID, status, h)
			},
		},
		FirstByteBy: x.deadline,
		IdleTimeout: time.Until(x.deadline),
	})
	if err != nil {
		return err
	}
	reply := x.cfg.Dialect.Reply(answer.Status, answer.Header)
	x.noteAnswer(u, answer.Status, reply)
	if reply.NotRun {
		answer.Discard()
		otherRun := reply.Mismatch && reply.Instance != "" && reply.Instance != u.ID
		return &caller.Failure{Upstream: u.ID, Status: answer.Status, NotRun: true, Leaving: otherRun}
	}
	x.ran = true
	if answer.Status >= http.StatusInternalServerError && x.mayRepeat() {
		answer.Discard()
		return &caller.Failure{Upstream: u.ID, Status: answer.Status, Sent: true}
	}
	if x.route.Kind == matcher.Stream && answer.Status < http.StatusMultipleChoices {
		return x.relay(answer)
	}
	return x.deliver(answer)
}

// noteAnswer tells what an answer shows of the upstream.
func (x *exchange) noteAnswer(u *registrar.Upstream, status int, reply Reply) {
	if reply.Weights > 0 {
		x.cfg.View.Learn(u, x.request.Prompt.Model, reply.Weights)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.picker.Answered(time.Now(), u.ID, status >= http.StatusInternalServerError && !reply.NotRun) {
		x.logUpstream("upstream_reached", u).Info("upstream answers again")
	}
}
