package dispatcher

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/serving/claimer"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// maxServiceAnswerBytes bounds the answer of one call.
const maxServiceAnswerBytes = 4 << 20

// Claims keeps a call with an idempotency key from running twice.
type Claims interface {
	// Claim takes the key for a request, or says why it is not to run.
	Claim(ctx context.Context, organisation, key string, digest claimer.Digest) (*claimer.Ticket, error)
}

// ServiceJob is one checked call of a plain service.
type ServiceJob struct {
	ID           string
	Bundle       *checker.Bundle
	Organisation checker.Organisation
	Service      checker.Service
	Method       string
	// Path is matched against the calls of the service.
	Path string
	// Query is the raw query, without its question mark.
	Query          string
	ContentType    string
	IdempotencyKey string
	Body           []byte
}

// ServiceAnswer is the whole answer of a plain service.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// target returns the path and the query of the call.
func (j ServiceJob) target() string {
	if j.Query == "" {
		return j.Path
	}
	return j.Path + "?" + j.Query
}

// Call runs j at an upstream of its service. A call that is not idempotent is
// sent at most once.
func (d *Dispatcher) Call(ctx context.Context, j ServiceJob) (ServiceAnswer, error) {
	total, cancel := context.WithTimeoutCause(ctx, j.Bundle.Policy.Streams.TotalTimeout.Std(), errTotalTimeout)
	defer cancel()
	c := &serviceCall{d: d, job: j, idempotent: j.Service.Idempotent(j.Method, j.Path), excluded: make(map[string]bool)}
	if err := c.claim(total); err != nil {
		return ServiceAnswer{}, err
	}
	answer, err := c.run(total)
	if err != nil && !c.sent {
		c.release(ctx)
	}
	return answer, err
}

// serviceCall is one call on its way.
type serviceCall struct {
	d          *Dispatcher
	job        ServiceJob
	idempotent bool
	excluded   map[string]bool
	ticket     *claimer.Ticket
	// sent is true once an upstream may have run the call.
	sent    bool
	refused bool
	last    error
}

// claim takes the idempotency key of a call that must not run twice.
func (c *serviceCall) claim(ctx context.Context) error {
	if c.idempotent || c.job.IdempotencyKey == "" {
		return nil
	}
	if c.d.cfg.Claims == nil {
		return classifier.New(classifier.StoreUnavailable, "idempotency keys cannot be checked")
	}
	digest := claimer.NewDigest(c.job.Service.Name, c.job.Method, c.job.target(), c.job.ContentType, c.job.Body)
	ticket, err := c.d.cfg.Claims.Claim(ctx, c.job.Organisation.Name, c.job.IdempotencyKey, digest)
	c.ticket = ticket
	return err
}

// release gives back the key of a call that was not sent.
func (c *serviceCall) release(ctx context.Context) {
	if c.ticket != nil {
		c.ticket.Release(context.WithoutCancel(ctx))
	}
}

func (c *serviceCall) run(ctx context.Context) (ServiceAnswer, error) {
	for attempt := 1; attempt <= c.job.Bundle.Policy.Attempts.MaxAttempts; attempt++ {
		choice, err := c.d.cfg.Chooser.ChooseService(ctx, c.job, attempt, c.excluded)
		if err != nil {
			return ServiceAnswer{}, c.refusal(err)
		}
		answer, err := c.attempt(ctx, choice)
		if err == nil {
			return answer, nil
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
	return ServiceAnswer{}, c.failure(ctx)
}

// attempt sends the call to one upstream and keeps what it means.
func (c *serviceCall) attempt(ctx context.Context, choice Choice) (ServiceAnswer, error) {
	if c.ticket != nil && !c.ticket.Valid(time.Now()) {
		c.last = errClaimOver
		c.refused = true
		return ServiceAnswer{}, errClaimOver
	}
	c.d.cfg.Chooser.Sent(time.Now(), choice)
	answer, err := c.d.exchangeService(ctx, c.job, choice)
	if err == nil {
		c.sent = true
		c.d.cfg.Chooser.Finished(time.Now(), choice)
		return answer, nil
	}
	c.note(ctx, choice, err)
	return ServiceAnswer{}, err
}

// errClaimOver reports a claim whose deadline passed before the send.
var errClaimOver = errors.New("deadline of the claim is over")

func (c *serviceCall) note(ctx context.Context, choice Choice, err error) {
	c.last = err
	c.excluded[choice.Target.Name] = true
	var failure *caller.Failure
	if !errors.As(err, &failure) || !failure.NotRun {
		c.sent = true
	} else if failure.Status != 0 {
		c.refused = true
	}
	if ctx.Err() != nil {
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

// refusal returns what to tell when no upstream could be chosen.
func (c *serviceCall) refusal(err error) error {
	if c.last == nil {
		return err
	}
	c.last = errors.Join(err, c.last)
	return c.failure(context.Background())
}

// failure returns the truth about a call without an answer.
func (c *serviceCall) failure(ctx context.Context) error {
	switch {
	case c.sent && !c.idempotent:
		return classifier.Wrap(classifier.OutcomeUnknown, c.last, "the call was sent and its outcome is unknown")
	case c.sent && errors.Is(c.last, caller.ErrSilent):
		return classifier.Wrap(classifier.Timeout, c.last, "no upstream answered in time")
	case c.sent:
		return ending(ctx, classifier.Wrap(classifier.UpstreamFailed, c.last, "no attempt succeeded"))
	case errors.Is(c.last, errClaimOver):
		return classifier.Wrap(classifier.DeadlineUnmeetable, c.last, "the call was held up and not sent")
	case c.refused:
		return classifier.Wrap(classifier.UpstreamRefused, c.last, "the upstream refused the call")
	}
	return classifier.Wrap(classifier.NoUpstream, c.last, "no upstream could be reached")
}

// exchangeService sends j on a connection of its own and reads the answer.
func (d *Dispatcher) exchangeService(ctx context.Context, j ServiceJob, choice Choice) (ServiceAnswer, error) {
	streams := j.Bundle.Policy.Streams
	answer, err := d.cfg.Caller.Do(ctx, choice.Target, caller.Call{
		RequestID:      j.ID,
		Attempt:        choice.Attempt,
		Method:         j.Method,
		Path:           j.target(),
		Organisation:   j.Organisation.Name,
		IdempotencyKey: j.IdempotencyKey,
		ContentType:    j.ContentType,
		Body:           j.Body,
		NewConnection:  true,
		FirstByteBy:    time.Now().Add(streams.FirstByteTimeout.Std()),
		IdleTimeout:    streams.IdleTimeout.Std(),
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
		err = errTooLarge
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

// errTooLarge reports an answer over maxServiceAnswerBytes.
var errTooLarge = errors.New("answer is too large")
