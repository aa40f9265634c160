package dispatcher

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/routing/quarantiner"
	"gentianstep.example/gentianstep/internal/serving/claimer"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/upstream/caller"
	"gentianstep.example/gentianstep/internal/upstream/noticer"
)

// maxServiceAnswerBytes is the maximum size of the answer to one call.
const maxServiceAnswerBytes = 4 << 20

// Claims prevents a call with an idempotency key from running twice.
type Claims interface {
	// Claim claims the key for a request. It returns an error if the request
	// must not run.
	Claim(ctx context.Context, organisation, key string, digest claimer.Digest) (*claimer.Ticket, error)
}

// ServiceJob is one validated call of a plain service.
type ServiceJob struct {
	ID           string
	Bundle       *checker.Bundle
	Organisation checker.Organisation
	Service      checker.Service
	Method       string
	// Path is matched against the path patterns of the service.
	Path string
	// Query is the raw query string without the question mark.
	Query          string
	ContentType    string
	IdempotencyKey string
	Body           []byte
}

// ServiceAnswer is the complete answer of a plain service.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// requestTarget returns the path and the query of the call.
func (j ServiceJob) requestTarget() string {
	if j.Query == "" {
		return j.Path
	}
	return j.Path + "?" + j.Query
}

// Call runs j at an upstream of its service. A call that is not idempotent is
// sent at most once: it is retried only after an attempt that sent nothing.
func (d *Dispatcher) Call(ctx context.Context, j ServiceJob) (ServiceAnswer, error) {
	total, cancel := context.WithTimeoutCause(ctx, j.Bundle.Policy.Streams.TotalTimeout.Std(), errTotalTimeout)
	defer cancel()
	c := &serviceCall{d: d, job: j, idempotent: j.Service.Idempotent(j.Method, j.Path), excluded: make(map[string]bool), fingerprints: j.fingerprints()}
	if err := c.claimKey(total); err != nil {
		return ServiceAnswer{}, err
	}
	answer, err := c.run(total)
	if err != nil && !c.sent {
		c.releaseClaim(ctx)
	}
	return answer, err
}

// serviceCall is the state of one call in progress.
type serviceCall struct {
	d          *Dispatcher
	job        ServiceJob
	idempotent bool
	excluded   map[string]bool

	fingerprints []quarantiner.Fingerprint
	// sentAt is when the latest attempt began.
	sentAt time.Time
	ticket *claimer.Ticket
	// sent is true once an upstream may have run the call.
	sent bool
	// refused is true once an upstream has refused the call without running it,
	// or the claim has expired.
	refused bool
	lastErr error
}

// claimKey claims the idempotency key of a call that must not run twice.
func (c *serviceCall) claimKey(ctx context.Context) error {
	if c.idempotent || c.job.IdempotencyKey == "" {
		return nil
	}
	if c.d.cfg.Claims == nil {
		return classifier.New(classifier.StoreUnavailable, "idempotency keys cannot be checked")
	}
	digest := claimer.NewDigest(c.job.Service.Name, c.job.Method, c.job.requestTarget(), c.job.ContentType, c.job.Body)
	ticket, err := c.d.cfg.Claims.Claim(ctx, c.job.Organisation.Name, c.job.IdempotencyKey, digest)
	c.ticket = ticket
	return err
}

// releaseClaim removes the claim of a call that was not sent, so that the caller
// may retry with the same key.
func (c *serviceCall) releaseClaim(ctx context.Context) {
	if c.ticket != nil {
		c.ticket.Release(context.WithoutCancel(ctx))
	}
}

// run attempts the call until it succeeds or must not be retried.
func (c *serviceCall) run(ctx context.Context) (ServiceAnswer, error) {
	for attempt := 1; attempt <= c.job.Bundle.Policy.Attempts.MaxAttempts; attempt++ {
		if err := c.d.admit(c.fingerprints); err != nil {
			return ServiceAnswer{}, c.choiceFailure(err)
		}
		choice, err := c.d.cfg.Chooser.ChooseService(ctx, c.job, attempt, c.excluded)
		if err != nil {
			return ServiceAnswer{}, c.choiceFailure(err)
		}
		answer, err := c.runAttempt(ctx, choice)
		if err == nil {
			return answer, nil
		}
		if errors.Is(err, noticer.ErrWithheld) {
			attempt-- // it does not count
		}
		if c.sent && !c.idempotent {
			break
		}
		if c.refused && !c.idempotent {
			break
		}
		if ctx.Err() != nil {
			break
		}
	}
	return ServiceAnswer{}, c.finalError(ctx)
}

// runAttempt sends the call to one upstream and records the result. It sends
// nothing after the deadline of the claim.
func (c *serviceCall) runAttempt(ctx context.Context, choice Choice) (ServiceAnswer, error) {
	if c.ticket != nil && !c.ticket.Valid(time.Now()) {
		c.lastErr = errClaimExpired
		c.refused = true
		return ServiceAnswer{}, errClaimExpired
	}
	c.sentAt = time.Now()
	c.d.cfg.Chooser.Sent(c.sentAt, choice)
	answer, err := c.d.exchangeService(ctx, c.job, choice)
	if err == nil {
		c.sent = true
		c.d.cfg.Chooser.Finished(time.Now(), choice)
		if answer.Status < http.StatusMultipleChoices {
			c.d.recordAnswer(c.fingerprints)
		}
		return answer, nil
	}
	c.recordFailure(ctx, choice, err)
	return ServiceAnswer{}, err
}

// errClaimExpired is returned if the deadline of the claim passed before the call
// was sent.
var errClaimExpired = errors.New("claim expired before the call was sent")

func (c *serviceCall) recordFailure(ctx context.Context, choice Choice, err error) {
	c.lastErr = err
	c.recordCrash(ctx, choice, err)
	withheld := errors.Is(err, noticer.ErrWithheld)
	c.excluded[choice.Target.Name] = !withheld
	var failure *caller.Failure
	if !errors.As(err, &failure) || !failure.NotRun {
		c.sent = true
	} else if failure.Status != 0 {
		c.refused = true
	}
	if ctx.Err() != nil || withheld {
		c.d.cfg.Chooser.Abandoned(time.Now(), choice)
	} else {
		c.d.cfg.Chooser.Failed(time.Now(), choice, err)
	}
	c.d.count(ServiceCallBroke, 1)
	c.d.cfg.Log.WithError(err).WithFields(logrus.Fields{
		"event":      "service_break",
		"request_id": c.job.ID,
		"attempt":    choice.Attempt,
		"upstream":   choice.Target.Name,
		"idempotent": c.idempotent,
		"sent":       c.sent,
	}).Warn("call of plain service failed")
}

// choiceFailure returns the error for the caller after no upstream could be
// chosen. Failures of earlier attempts determine its kind.
func (c *serviceCall) choiceFailure(err error) error {
	if c.lastErr == nil || errors.Is(c.lastErr, noticer.ErrWithheld) && !c.sent {
		return err
	}
	c.lastErr = errors.Join(err, c.lastErr)
	return withRetryAt(c.finalError(context.Background()), err)
}

// finalError returns the error for the caller of a call without an answer. It
// states that the call did not run only if no upstream may have run it.
func (c *serviceCall) finalError(ctx context.Context) error {
	switch {
	case c.sent && !c.idempotent:
		return classifier.Wrap(classifier.OutcomeUnknown, c.lastErr, "the call was sent and its outcome is unknown")
	case c.sent && errors.Is(c.lastErr, caller.ErrSilent):
		return classifier.Wrap(classifier.Timeout, c.lastErr, "no upstream answered in time")
	case c.sent:
		return classifyError(ctx, classifier.Wrap(classifier.UpstreamFailed, c.lastErr, "no attempt succeeded"))
	case errors.Is(c.lastErr, errClaimExpired):
		return classifier.Wrap(classifier.DeadlineUnmeetable, c.lastErr, "the call was held up and not sent")
	case c.refused:
		return classifier.Wrap(classifier.UpstreamRefused, c.lastErr, "the upstream refused the call")
	}
	return classifier.Wrap(classifier.NoUpstream, c.lastErr, "no upstream could be reached")
}

// exchangeService sends j on a new connection and reads the complete answer.
func (d *Dispatcher) exchangeService(ctx context.Context, j ServiceJob, choice Choice) (ServiceAnswer, error) {
	streams := j.Bundle.Policy.Streams
	answer, err := d.cfg.Caller.Do(ctx, choice.Target, caller.Call{
		RequestID:         j.ID,
		Attempt:           choice.Attempt,
		Method:            j.Method,
		Path:              j.requestTarget(),
		Organisation:      j.Organisation.Name,
		IdempotencyKey:    j.IdempotencyKey,
		ContentType:       j.ContentType,
		Body:              j.Body,
		NewConnection:     true,
		FirstByteDeadline: time.Now().Add(streams.FirstByteTimeout.Std()),
		IdleTimeout:       streams.IdleTimeout.Std(),
	})
	if err != nil {
		return ServiceAnswer{}, err
	}
	defer answer.Discard()
	if answer.NotRun() {
		return ServiceAnswer{}, &caller.Failure{Upstream: choice.Target.Name, Status: answer.Status, Sent: true, NotRun: true, Leaving: answer.Leaving()}
	}
	body, err := io.ReadAll(io.LimitReader(answer, maxServiceAnswerBytes+1))
	if err == nil && len(body) > maxServiceAnswerBytes {
		err = errAnswerTooLarge
	}
	if err == nil {
		err = answer.CheckBody()
	}
	// An upstream that leaves may stop listening before its last answer has ended.
	if err == nil && answer.Header.Get(encoder.HeaderLeaving) != "true" {
		err = d.cfg.Caller.CheckEnd(ctx, choice.Target.Address, answer)
	}
	if err != nil {
		return ServiceAnswer{}, &caller.Failure{Upstream: choice.Target.Name, Sent: true, Err: err}
	}
	return ServiceAnswer{
		Status:      answer.Status,
		ContentType: answer.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}

// errAnswerTooLarge is returned for an answer larger than maxServiceAnswerBytes.
var errAnswerTooLarge = errors.New("answer exceeds the maximum size")
