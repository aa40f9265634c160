package forwarder

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/matcher"
	"gentianstep.example/gentianstep/internal/routing/picker"
	"gentianstep.example/gentianstep/internal/routing/quarantiner"
	"gentianstep.example/gentianstep/internal/upstream/caller"
	"gentianstep.example/gentianstep/internal/upstream/noticer"
)

const (
	// minSendTime is the time that must be left before the deadline for a
	// request to be sent; it covers a round trip to another region.
	minSendTime = 20 * time.Millisecond
	// busyCooldown is how long an upstream that refused a request is skipped.
	busyCooldown = 300 * time.Millisecond
	// replacedCooldown is how long an upstream is skipped after another
	// instance has responded at its address: until its outdated entry is
	// removed.
	replacedCooldown = 5 * time.Second
	// engineRequestsPerSlot and plainRequestsPerSlot are the numbers of
	// requests per slot of an upstream that all VMs together may have waiting
	// or running there.
	engineRequestsPerSlot = 2.0
	plainRequestsPerSlot  = 3.0
	// imbalanceFactor raises the limit of each VM above an equal share, since
	// some VMs get more of the traffic than others.
	imbalanceFactor = 2.0
	// minRequestsPerVM is the lower bound of that limit, so that a VM can still
	// use an upstream that it shares with many others.
	minRequestsPerVM = 2
	// urgentPromptTokens is the length of a prompt from which the load is
	// reported to the other VMs at once: an engine takes some 50 ms to read it.
	urgentPromptTokens = 2500
	// writeGrace is the time after the deadline during which a client may still
	// read what was written.
	writeGrace = 500 * time.Millisecond
	// maxWaitShare is the share of the latency objective for which a request
	// may wait for capacity at an upstream.
	maxWaitShare = 0.75
)

// exchange holds the state of one client request across its attempts.
type exchange struct {
	*Forwarder
	r        *http.Request
	response *response

	request       *Request
	configuration *matcher.Configuration
	route         *matcher.Route
	organisation  *matcher.Organisation
	service       string
	body          []byte
	arrivedAt     time.Time
	deadline      time.Time
	// fingerprints are what the request may have in common with others under which
	// upstreams crash.
	fingerprints []quarantiner.Fingerprint

	attempts int
	// tried holds the IDs of upstreams at which the request has failed and to
	// which it is not sent again.
	tried  map[string]bool
	choice picker.Choice
	// access is the access to the upstreams at the time of the choice.
	access noticer.Split
	// lastResort is true if the chosen upstream is leaving.
	lastResort bool
	// newConnection is true if the latest attempt was sent on a connection that was
	// opened for it.
	newConnection bool
	// withdrawal is that of the latest attempt.
	withdrawal *withdrawal
	// withdrawn is the number of attempts that were withdrawn.
	withdrawn int
	// sentAt is when the upstream of the latest attempt was chosen.
	sentAt time.Time
	// firstByteSentAt is when the first byte of the latest attempt was sent, nil if none
	// was. The transport sets it.
	firstByteSentAt atomic.Pointer[time.Time]
	// readingPrompt is true from sending an attempt until the upstream has read
	// the prompt.
	readingPrompt bool
	// upstreamResponse describes the response to the latest attempt.
	upstreamResponse upstreamResponse
	firstByteAt      time.Time
	// sequence is the order of the events that the client has received.
	sequence sequence
	// resumed is false while the client has events and the latest attempt has sent none with
	// a number, so that it may be something else than the rest of the stream.
	resumed bool
	events  int
	// eventsBefore is the number of events before the latest attempt.
	eventsBefore int
	// mayHaveRun is true if an upstream may have run the request.
	mayHaveRun bool
}

// run sends the request until an attempt succeeds or no retry is possible.
func (x *exchange) run() {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	defer x.setWriteDeadline()()
	x.sequence = newSequence(x.request.ResumeAfter)
	x.mu.Lock()
	x.budget.RecordRequest(x.arrivedAt, x.service)
	x.mu.Unlock()
	for {
		u, refusal := x.acquireUpstream(ctx)
		if refusal != nil {
			x.failRequest(ctx, refusal)
			return
		}
		err := x.sendAttempt(ctx, u)
		if err == nil {
			return
		}
		if errors.Is(err, errQuarantined) {
			x.attempts--
			continue // the next choice refuses it
		}
		if x.recordWithheld(err) {
			continue
		}
		if final := x.checkRetry(ctx, u, err); final != nil {
			x.failRequest(ctx, final)
			return
		}
	}
}

// setWriteDeadline bounds the time for which a client that does not read keeps
// its request open. The returned function clears the deadline, so that it does
// not apply to the next request of the connection.
func (x *exchange) setWriteDeadline() func() {
	if err := x.response.setWriteDeadline(x.deadline.Add(writeGrace)); err != nil {
		x.cfg.Log.WithError(err).WithField("event", "deadline_unset").Warn("could not set write deadline of client connection")
		return func() {}
	}
	return func() { _ = x.response.setWriteDeadline(time.Time{}) } // fails only on a closed connection
}

// acquireUpstream waits until an upstream has capacity for the request, and
// counts the request there.
func (x *exchange) acquireUpstream(ctx context.Context) (*registrar.Upstream, *classifier.Error) {
	latest := x.arrivedAt.Add(time.Duration(maxWaitShare * float64(x.route.TargetLatency)))
	if latest.After(x.deadline) || x.route.TargetLatency <= 0 {
		latest = x.deadline
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	w := &waiter{priority: x.priority(), deadline: x.deadline}
	for {
		now := time.Now()
		if refusal := x.checkSendable(now); refusal != nil {
			return nil, refusal
		}
		q := x.choose(now)
		switch {
		case x.choice.Upstream != nil:
			x.picker.RecordSent(now, q, x.choice)
			if x.choice.PromptTokens >= urgentPromptTokens {
				x.overload.recordDecision(false)
				x.requestUrgentReport()
			}
			return x.choice.Upstream, nil
		case x.choice.Reason == picker.NoUpstream:
			if refusal := x.refuseNoUpstream(now, latest); refusal != nil {
				return nil, refusal
			}
		case x.choice.Reason == picker.Behind && now.Sub(x.arrivedAt) >= x.maxBacklogWait():
			return nil, x.rejectPrompt(now)
		case !now.Before(latest):
			return nil, classifier.New(classifier.Overloaded, "every upstream of %s is full", x.service)
		}
		until := latest
		if recheckAt := now.Add(backlogPollInterval); x.choice.Reason == picker.Behind && recheckAt.Before(latest) {
			until = recheckAt
		}
		x.waitForCapacity(ctx, x.service, w, x.accessChangeAt(now, until))
		if x.r.Context().Err() != nil {
			return nil, classifier.Wrap(classifier.CallerGone, x.r.Context().Err(), "the client left while waiting")
		}
	}
}

// checkSendable returns the refusal of a request that is sent to no upstream, or nil.
func (x *exchange) checkSendable(now time.Time) *classifier.Error {
	if !now.Add(minSendTime).Before(x.deadline) {
		return classifier.New(classifier.DeadlineUnmeetable, "no time is left")
	}
	return x.checkQuarantine(now)
}

// requestUrgentReport signals that the loads should be reported to the hub at
// once. It does nothing if a signal is pending already.
func (f *Forwarder) requestUrgentReport() {
	select {
	case f.urgentReports <- struct{}{}:
	default:
	}
}

// sendAttempt sends the request once. It returns nil if the client got its
// final response.
func (x *exchange) sendAttempt(ctx context.Context, u *registrar.Upstream) error {
	x.readingPrompt = true
	defer x.releaseUpstream()
	now := time.Now()
	x.attempts++
	x.sentAt = now
	x.eventsBefore = x.events
	x.resumed = x.sequence.last == ""
	x.upstreamResponse = upstreamResponse{}
	x.firstByteSentAt.Store(nil)
	options := AttemptOptions{Upstream: u.ID, Deadline: x.deadline, Priority: -1, CacheScope: x.isolationScope(), ResumeAfter: x.sequence.last}
	options.WeightsVersion = x.expectedWeights(now)
	if x.choice.Scope != "" {
		options.CacheScope, options.WeightsVersion = x.choice.Scope, x.choice.WeightsVersion
	}
	x.newConnection = x.needsNewConnection(now)
	ctx, x.withdrawal = x.watchWeights(ctx, u, options.WeightsVersion)
	defer x.withdrawal.stop()
	if x.choice.Source != nil {
		options.FetchFrom = x.choice.Source.Address
	}
	if x.choice.SaveStore != nil {
		options.SaveTo = x.choice.SaveStore.Address
	}
	if x.organisation != nil {
		options.Organisation = x.organisation.Name
	}
	if x.route.CarriesPrompt {
		options.Priority = x.priority()
	}
	var head ResponseHead
	answer, err := x.cfg.Caller.Do(ctx, caller.Target{Name: u.ID, Address: u.Address}, caller.Call{
		RequestID: x.request.ID,
		Method:    x.request.Method,
		Path:      x.request.Target,
		Body:      x.body,
		Head: &caller.RequestHead{
			Host:    x.request.Host,
			Header:  x.cfg.Dialect.Encode(now, x.request, options),
			Refresh: func(h http.Header) { x.cfg.Dialect.SetDeadline(time.Now(), h, x.deadline) },
			CheckResponse: func(status int, h http.Header) (err error) {
				head, err = x.checkResponse(u, status, h)
				return err
			},
		},
		Admit:             x.admission(u),
		NewConnection:     x.newConnection,
		FirstByteDeadline: x.deadline,
		IdleTimeout:       time.Until(x.deadline),
	})
	if err != nil {
		return err
	}
	x.upstreamResponse = newUpstreamResponse(answer)
	x.recordResponse(u, answer.Status, head)
	x.withdrawal.setVersion(head.WeightsVersion)
	if head.NotRun {
		answer.Discard()
		otherInstance := head.Misdirected && head.Instance != "" && head.Instance != u.ID
		return &caller.Failure{Upstream: u.ID, Status: answer.Status, NotRun: true, Leaving: otherInstance}
	}
	x.mayHaveRun = true
	if answer.Status >= http.StatusInternalServerError && x.canRetryAfterRun() {
		answer.Discard()
		return &caller.Failure{Upstream: u.ID, Status: answer.Status, Sent: true}
	}
	if x.response.begun() && !x.response.isContinuedBy(answer.Status, answer.Header) {
		answer.Discard()
		return &caller.Failure{Upstream: u.ID, Status: answer.Status, Sent: true}
	}
	if x.route.Kind == matcher.Stream && answer.Status < http.StatusMultipleChoices {
		return x.relayStream(ctx, answer)
	}
	if err := x.withdrawal.end(); err != nil {
		answer.Discard()
		return err
	}
	return x.sendResponse(ctx, answer)
}

// checkResponse decodes the head of the response to the latest attempt and records its
// notices. It returns an error if the response does not belong to the request.
func (x *exchange) checkResponse(u *registrar.Upstream, status int, h http.Header) (ResponseHead, error) {
	head := x.cfg.Dialect.DecodeResponse(status, h)
	head.Notice.SentAt = x.sentAt
	err := x.cfg.Dialect.CheckResponse(x.request.ID, status, h)
	if err != nil {
		head.Notice.Limit.Stated = false // the response may be to an earlier request
	}
	x.cfg.Noticer.Record(u, head.Notice)
	return head, err
}

// recordResponse updates the weights and the health of the upstream from the
// head of its response.
func (x *exchange) recordResponse(u *registrar.Upstream, status int, head ResponseHead) {
	if head.WeightsVersion > 0 && (!head.Misdirected || head.Instance == u.ID) {
		x.cfg.View.RecordWeightsVersion(time.Now(), u, x.request.Prompt.Model, head.WeightsVersion, x.choice.WeightsVersion)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.recordLinkProof()
	if x.picker.RecordAnswer(time.Now(), u.ID, status >= http.StatusInternalServerError && !head.NotRun) {
		x.logUpstream("upstream_reached", u).Info("upstream is reachable again")
	}
}
