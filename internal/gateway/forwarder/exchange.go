package forwarder

import (
	"context"
	"errors"
	"net/http"
	"strconv"
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
	enginePlaces = 1.0
	plainPlaces  = 3.0
	// unevenness covers that some VMs get more of the clients than others.
	unevenness = 2.0
	// minPlaces keeps a VM that shares an upstream with many others at work.
	minPlaces = 2
	// urgentTokens is the length of a prompt of which the other VMs should hear
	// at once: reading it takes an engine some 50 ms.
	urgentTokens = 2500
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
	x.lastEvent = x.request.ResumeAfter
	x.mu.Lock()
	x.budget.Request(x.arrivedAt, x.service)
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

// rank is the urgency of the request, 0 is first.
func (x *exchange) rank() int {
	if x.organisation != nil && x.organisation.HasPriority {
		return x.organisation.Priority
	}
	return x.route.Priority
}

// choose waits for a place at an upstream and takes it.
func (x *exchange) choose(ctx context.Context) (*registrar.Upstream, *classifier.Error) {
	latest := x.arrivedAt.Add(time.Duration(waitShare * float64(x.route.TargetLatency)))
	if latest.After(x.deadline) || x.route.TargetLatency <= 0 {
		latest = x.deadline
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	w := &waiter{rank: x.rank(), arrivedAt: x.arrivedAt}
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
				x.hurry()
			}
			return x.choice.Upstream, nil
		case x.choice.Reason == picker.NoUpstream:
			return nil, classifier.New(classifier.NoUpstream, "no upstream of %s can be used", x.service)
		case !now.Before(latest):
			return nil, classifier.New(classifier.Overloaded, "every upstream of %s is full", x.service)
		}
		x.wait(ctx, x.service, w, latest)
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

// query describes the request to the picker.
func (x *exchange) query(now time.Time) picker.Query {
	q := picker.Query{
		Upstreams: x.cfg.Directory.Usable(x.service),
		Exclude:   x.tried,
		BodyBytes: len(x.body),
		Others: func(id string) picker.Load {
			load := x.cfg.View.Load(now, id)
			return picker.Load{
				InFlight:     load.InFlight,
				PromptTokens: load.PromptTokens,
				Copying:      time.Duration(load.CopyingMillis) * time.Millisecond,
			}
		},
	}
	if len(q.Upstreams) > 0 {
		x.limit(&q, q.Upstreams[0].Slots)
	}
	if x.route.Generates {
		x.describe(now, &q)
	}
	return q
}

// limit sets how many requests may be at one upstream.
func (x *exchange) limit(q *picker.Query, slots int) {
	places := plainPlaces
	if x.route.Generates {
		places = enginePlaces
	}
	places *= float64(max(slots, 1))
	q.Limit = int(places)
	q.OwnLimit = max(int(unevenness*places/float64(x.vms.Load())), minPlaces)
}

// describe adds what matters where a prompt is sent.
func (x *exchange) describe(now time.Time, q *picker.Query) {
	view, model := x.cfg.View, x.request.Prompt.Model
	prompt := &picker.Prompt{
		Tokens:  x.request.Prompt.Tokens,
		Weights: func(u *registrar.Upstream) uint64 { return view.Weights(u, model) },
		Holders: view.Holders,
		Scope:   func(version uint64) string { return x.scope(version) },
	}
	if parts := x.request.Prompt.Parts; len(parts) > 1 {
		for _, part := range parts[:len(parts)-1] {
			prompt.Shared = append(prompt.Shared, picker.SharedPart{ID: part.ID, Tokens: part.Tokens})
		}
	}
	if engine := x.configuration.Services[x.service].Engine; engine != nil {
		prompt.Engine = picker.Engine{TokenBytes: engine.TokenBytes, LinkBytesPerSecond: engine.LinkBytesPerSecond}
	}
	prompt.Stores = stores(x.configuration)
	least := uint64(0)
	least, prompt.Due, prompt.Newest = x.wantedWeights(now, model)
	q.Prompt = prompt
	q.Usable = func(u *registrar.Upstream) bool {
		version := view.Weights(u, model)
		return version > 0 && version >= least && !view.Changing(now, u)
	}
}

// stores lists the stores of kept cache of a configuration.
func stores(c *matcher.Configuration) []picker.Store {
	var list []picker.Store
	for _, s := range c.Services {
		if s.KeptCache.IsValid() {
			list = append(list, picker.Store{
				ID:                 s.KeptCache.String(),
				Address:            s.KeptCache,
				AvailabilityZone:   s.AvailabilityZone,
				LinkBytesPerSecond: s.LinkBytesPerSecond,
			})
		}
	}
	return list
}

const (
	// staleAfter is how long older weights are as good as the newest: until then
	// few engines have those.
	staleAfter = time.Second
	// dueShare is the part of the time for new weights after which older ones
	// are used only where there is nothing else.
	dueShare = 0.45
	// lateShare is the part after which they are no longer used; the rest covers
	// the wait of a request at its engine.
	lateShare = 0.6
)

// wantedWeights returns the oldest version of the weights that may begin a
// request, the newest that is due soon, and the newest that is wanted.
func (x *exchange) wantedWeights(now time.Time, model string) (least, due, newest uint64) {
	apply := float64(x.weightsApply.Load())
	for _, w := range x.cfg.Directory.WantedWeights(model) {
		passed := now.Sub(w.Since)
		if passed >= staleAfter {
			newest = max(newest, w.Version)
		}
		if passed >= time.Duration(dueShare*apply) {
			due = max(due, w.Version)
		}
		if passed >= time.Duration(lateShare*apply) {
			least = max(least, w.Version)
		}
	}
	return least, due, newest
}

// scope names the cache that the request may use: that of one version of the
// weights, since cache is copied between engines, and of one organisation where
// that is isolated.
func (x *exchange) scope(version uint64) string {
	return x.wall() + scopeVersion + strconv.FormatUint(version, 10)
}

// scopeVersion separates the version in the name of a scope.
const scopeVersion = "@"

// wall names the organisation that shares no cache, empty for none.
func (x *exchange) wall() string {
	if x.organisation != nil && x.organisation.Isolated {
		return x.organisation.Name
	}
	return ""
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

// mayRepeat reports whether another attempt is possible after one that ran.
func (x *exchange) mayRepeat() bool {
	return x.route.Repeatable() && x.attempts < x.route.MaxAttempts
}

// noteAnswer tells what an answer shows of the upstream.
func (x *exchange) noteAnswer(u *registrar.Upstream, status int, reply Reply) {
	if reply.Weights > 0 {
		x.cfg.View.Learn(u, x.request.Prompt.Model, reply.Weights)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.picker.Answered(u.ID, status >= http.StatusInternalServerError && !reply.NotRun)
}

// again decides whether a failed request is sent once more. It returns nil
// where it is.
func (x *exchange) again(ctx context.Context, u *registrar.Upstream, err error) *classifier.Error {
	now := time.Now()
	failure := &caller.Failure{Upstream: u.ID, Sent: true, Err: err}
	_ = errors.As(err, &failure) // otherwise the answer broke off
	x.note(now, u, failure)
	if x.r.Context().Err() != nil || errors.Is(err, errClientGone) {
		return classifier.Wrap(classifier.CallerGone, err, "the client left")
	}
	if failure.Sent && !failure.NotRun {
		x.ran = true
	}
	if ctx.Err() != nil || !now.Add(minSendTime).Before(x.deadline) {
		return x.overdue(err)
	}
	if x.ran && !x.route.Repeatable() {
		return classifier.Wrap(classifier.OutcomeUnknown, err, "the upstream did not answer")
	}
	unsent := failure.NotRun && failure.Status == 0
	if unsent {
		x.attempts-- // nothing left this VM
	} else if x.attempts >= x.route.MaxAttempts {
		return x.exhausted(failure)
	}
	x.mu.Lock()
	allowed := unsent || x.budget.Repeat(now, x.service)
	x.mu.Unlock()
	if !allowed {
		return x.exhausted(failure)
	}
	if x.tried == nil {
		x.tried = make(map[string]bool)
	}
	x.tried[u.ID] = true
	x.logAttempt(u, failure)
	return nil
}

// exhausted is the end of a request that may not be sent again.
func (x *exchange) exhausted(failure *caller.Failure) *classifier.Error {
	if !x.ran {
		return classifier.Wrap(classifier.UpstreamRefused, failure, "no upstream took the request")
	}
	return classifier.Wrap(classifier.UpstreamFailed, failure, "no attempt succeeded")
}

// overdue is the end of a request whose time is over.
func (x *exchange) overdue(err error) *classifier.Error {
	if !x.ran {
		return classifier.Wrap(classifier.DeadlineUnmeetable, err, "no upstream took the request in time")
	}
	return classifier.Wrap(classifier.Timeout, err, "no answer in time")
}

// note tells the picker what a failure says of the upstream.
func (x *exchange) note(now time.Time, u *registrar.Upstream, failure *caller.Failure) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.r.Context().Err() != nil || errors.Is(failure, errClientGone):
	case failure.Leaving:
		x.picker.Avoid(u.ID, now.Add(otherRunFor))
	case failure.NotRun && failure.Status != 0:
		x.picker.Avoid(u.ID, now.Add(busyFor))
	case failure.Status == 0:
		x.picker.Unreachable(now, u.ID)
		x.cfg.Caller.CloseIdle(caller.Target{Address: u.Address})
	}
}

// fail ends a request without an answer of an upstream.
func (x *exchange) fail(ctx context.Context, err *classifier.Error) {
	if err.Kind == classifier.CallerGone || x.committed {
		x.finish(0, string(err.Kind), err)
		panic(http.ErrAbortHandler) // closes the connection without the answer's end
	}
	if ctx.Err() != nil && x.r.Context().Err() == nil && err.Kind == classifier.UpstreamFailed {
		err = x.overdue(err)
	}
	x.refuse(err)
}
