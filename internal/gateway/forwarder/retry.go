package forwarder

import (
	"context"
	"errors"
	"time"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// canRetryAfterRun reports whether the route permits another attempt after one
// that an upstream has run.
func (x *exchange) canRetryAfterRun() bool {
	return x.route.Repeatable() && x.attempts < x.route.MaxAttempts
}

// checkRetry records a failed attempt and decides whether to retry. It returns
// nil if the request is to be sent again, and the final error otherwise.
func (x *exchange) checkRetry(ctx context.Context, u *registrar.Upstream, err error) *classifier.Error {
	now := time.Now()
	failure := &caller.Failure{Upstream: u.ID, Sent: true, Err: err}
	_ = errors.As(err, &failure) // any other error means that the response broke off
	x.recordFailure(now, u, failure)
	x.recordCrash(ctx, now, u, failure)
	x.returnPass(failure)
	if x.r.Context().Err() != nil || errors.Is(err, errClientGone) {
		return classifier.Wrap(classifier.CallerGone, err, "the client left")
	}
	if failure.Sent && !failure.NotRun {
		x.mayHaveRun = true
	}
	if ctx.Err() != nil || !now.Add(minSendTime).Before(x.deadline) {
		return x.endError(ctx, err)
	}
	if final := x.checkRepeatable(err); final != nil {
		return final
	}
	unsent := failure.NotRun && failure.Status == 0
	if unsent {
		x.attempts-- // nothing was sent, so the attempt does not count
	} else if x.attempts >= x.route.MaxAttempts {
		return x.exhaustedError(failure)
	}
	x.mu.Lock()
	allowed := unsent || x.budget.AllowRetry(now, x.service)
	x.mu.Unlock()
	if !allowed {
		return x.exhaustedError(failure)
	}
	x.recordTried(u, unsent, failure)
	x.logRetry(u, failure)
	return nil
}

// checkRepeatable returns the final error of a request that may not be sent once more, whatever
// attempts are left, or nil.
func (x *exchange) checkRepeatable(err error) *classifier.Error {
	switch {
	case x.mayHaveRun && !x.route.Repeatable():
		return classifier.Wrap(classifier.OutcomeUnknown, err, "the upstream did not answer")
	case x.response.begun() && (x.sequence.unresumable || x.bodyReleased):
		return classifier.Wrap(classifier.StreamBroken, err, "the stream cannot be resumed")
	}
	return nil
}

// recordTried excludes the upstream of a failed attempt from further ones. An engine
// from which the request was withdrawn stays: it is chosen again only with newer
// weights, and each time the attempt counts.
func (x *exchange) recordTried(u *registrar.Upstream, unsent bool, failure *caller.Failure) {
	if errors.Is(failure, errWithdrawn) && !unsent {
		return
	}
	if x.tried == nil {
		x.tried = make(map[string]bool)
	}
	x.tried[u.ID] = true
}

// exhaustedError returns the error of a request that has no attempt or retry
// budget left.
func (x *exchange) exhaustedError(failure *caller.Failure) *classifier.Error {
	if !x.mayHaveRun {
		return classifier.Wrap(classifier.UpstreamRefused, failure, "no upstream took the request")
	}
	return classifier.Wrap(classifier.UpstreamFailed, failure, "no attempt succeeded")
}

// deadlineError returns the error of a request whose deadline has passed or is
// too close for another attempt.
func (x *exchange) deadlineError(err error) *classifier.Error {
	if !x.mayHaveRun {
		return classifier.Wrap(classifier.DeadlineUnmeetable, err, "no upstream took the request in time")
	}
	return classifier.Wrap(classifier.Timeout, err, "no answer in time")
}

// recordFailure updates the health of the upstream in the picker. Failures that
// the client or the end of the VM caused do not count against the upstream.
func (x *exchange) recordFailure(now time.Time, u *registrar.Upstream, failure *caller.Failure) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.r.Context().Err() != nil || errors.Is(failure, errClientGone) || errors.Is(failure, errShutdown):
	case errors.Is(failure, errWithdrawn):
		x.withdrawn++ // the engine is full, not unreachable
	case failure.Leaving:
		x.picker.ExcludeUntil(now, u.ID, now.Add(replacedCooldown))
	case failure.NotRun && failure.Status != 0:
		x.picker.ExcludeUntil(now, u.ID, now.Add(busyCooldown))
	case failure.Status == 0:
		if until := x.picker.RecordUnreachable(now, u.ID); !until.IsZero() {
			x.logUpstream("upstream_unreachable", u).WithError(failure).WithField("cools_ms", until.Sub(now).Milliseconds()).Info("upstream is unreachable")
		}
		x.cfg.Caller.CloseIdle(caller.Target{Address: u.Address})
	}
}

// failRequest ends a request that got no complete response from an upstream. It
// responds with an error, unless the client has left or has received a part of a
// response, which is broken off then.
func (x *exchange) failRequest(ctx context.Context, err *classifier.Error) {
	if err.Kind == classifier.CallerGone || x.response.begun() {
		x.recordOutcome(0, string(err.Kind), err)
		return
	}
	if x.mayHaveRun && classifier.AnswerOf(err.Kind).NotRun {
		// An earlier attempt may have run, so the error must not state that the
		// request was not run.
		err = classifier.Wrap(classifier.UpstreamFailed, err, "no further attempt was possible")
	}
	if ctx.Err() != nil && x.r.Context().Err() == nil && err.Kind == classifier.UpstreamFailed {
		err = x.endError(ctx, err)
	}
	x.writeError(err)
}
