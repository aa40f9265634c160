package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// mayRepeat reports whether another attempt is possible after one that ran.
func (x *exchange) mayRepeat() bool {
	return x.route.Repeatable() && x.attempts < x.route.MaxAttempts
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
	allowed := unsent || x.budget.AllowRetry(now, x.service)
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
		x.picker.Avoid(now, u.ID, now.Add(otherRunFor))
	case failure.NotRun && failure.Status != 0:
		x.picker.Avoid(now, u.ID, now.Add(busyFor))
	case failure.Status == 0:
		if until := x.picker.Unreachable(now, u.ID); !until.IsZero() {
			x.logUpstream("upstream_unreachable", u).WithError(failure).WithField("cools_ms", until.Sub(now).Milliseconds()).Info("upstream could not be reached")
		}
		x.cfg.Caller.CloseIdle(caller.Target{Address: u.Address})
	}
}

// fail ends a request without an answer of an upstream.
func (x *exchange) fail(ctx context.Context, err *classifier.Error) {
	if err.Kind == classifier.CallerGone || x.committed {
		x.finish(0, string(err.Kind), err)
		panic(http.ErrAbortHandler) // closes the connection without the answer's end
	}
	if x.ran && classifier.AnswerOf(err.Kind).NotRun {
		// An earlier attempt ran, so that no refusal may say otherwise.
		err = classifier.Wrap(classifier.UpstreamFailed, err, "no further attempt was possible")
	}
	if ctx.Err() != nil && x.r.Context().Err() == nil && err.Kind == classifier.UpstreamFailed {
		err = x.overdue(err)
	}
	x.refuse(err)
}
