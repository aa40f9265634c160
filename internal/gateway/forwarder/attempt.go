package forwarder

import (
	"context"
	"net/http"
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

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
	x.pass.Store(nil)
	options := x.attemptOptions(now, u)
	x.newConnection = x.needsNewConnection(now)
	ctx, x.withdrawal = x.watchWaiting(ctx, u, options.WeightsVersion)
	defer x.withdrawal.stop()
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
			CheckResponse: func(status int, h http.Header, reused bool) (err error) {
				head, err = x.checkResponse(u, status, h, reused)
				return err
			},
		},
		Admit:             x.admission(u),
		NewConnection:     x.newConnection,
		FirstByteDeadline: x.deadline,
		IdleTimeout:       time.Until(x.deadline),
	})
	x.recordAddress(u)
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
	if !x.mayDeliver(answer, head) {
		answer.Discard()
		return &caller.Failure{Upstream: u.ID, Status: answer.Status, Sent: true}
	}
	if x.isStream(answer) {
		return x.relayStream(ctx, answer)
	}
	if err := x.withdrawal.end(); err != nil {
		answer.Discard()
		return err
	}
	return x.sendResponse(ctx, answer)
}

// mayDeliver reports whether the client may get the response of an upstream: it is the rest of
// the response that has begun, or the first one and no error that a retry may avoid. A status
// that claims that the request was not run is not passed on without proof if a client would
// send the request again that may run once only.
func (x *exchange) mayDeliver(answer *caller.Response, head ResponseHead) bool {
	if x.response.begun() {
		return x.response.isContinuedBy(answer.Status, answer.Header)
	}
	if head.ClaimsNotRun && !x.route.Repeatable() {
		return false
	}
	return answer.Status < http.StatusInternalServerError || !x.canRetryAfterRun()
}

// attemptOptions returns what the gateway adds to the request for an attempt.
func (x *exchange) attemptOptions(now time.Time, u *registrar.Upstream) AttemptOptions {
	options := AttemptOptions{Upstream: u.ID, Deadline: x.deadline, Priority: -1, CacheScope: x.scoped.CacheScope(x.organisation), ResumeAfter: x.sequence.last}
	options.WeightsVersion = x.expectedWeights(now)
	if x.choice.Scope != "" {
		options.CacheScope, options.WeightsVersion = x.choice.Scope, x.choice.WeightsVersion
	}
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
		options.Priority = x.enginePriority(now)
	}
	return options
}

// checkResponse decodes the head of the response to the latest attempt and records its
// notices. It returns an error if the response does not belong to the request.
func (x *exchange) checkResponse(u *registrar.Upstream, status int, h http.Header, reused bool) (ResponseHead, error) {
	head := x.cfg.Dialect.DecodeResponse(status, h)
	head.Notice.SentAt = x.sentAt
	err := x.cfg.Dialect.CheckResponse(x.request.ID, status, h, reused)
	if err != nil {
		head.Notice = head.Notice.OfOther()
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
