// Package dispatcher sends a request to an upstream and relays the answer to
// the caller. It retries failed attempts and resumes interrupted streams.
package dispatcher

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// errTotalTimeout is the cancellation cause of an answer that exceeds the total
// timeout of the bundle.
var errTotalTimeout = errors.New("answer exceeded the total timeout")

// Config configures a Dispatcher.
type Config struct {
	Caller  *caller.Caller
	Chooser Chooser
	// Claims prevents a call with an idempotency key from running twice. If it
	// is nil, calls that are not idempotent and carry a key are refused.
	Claims Claims
	// Isolator decides which requests are not sent since upstreams crash under them; nil
	// sends all.
	Isolator Isolator
	Log      *logrus.Entry
	// Count is called for each event with the number of its occurrences. It
	// may be nil.
	Count func(event AnswerEvent, n int)
}

// Dispatcher handles completion requests and calls of plain services.
type Dispatcher struct {
	cfg Config
}

// New returns a Dispatcher with the given configuration.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{cfg: cfg}
}

// Complete runs j and writes its answer to sink. If an error is returned after
// the first chunk, the answer is incomplete.
func (d *Dispatcher) Complete(ctx context.Context, j Job, sink Sink) error {
	total, cancel := context.WithTimeoutCause(ctx, j.Bundle.Policy.Streams.TotalTimeout.Std(), errTotalTimeout)
	defer cancel()
	total, stop := context.WithCancelCause(total)
	defer stop(nil)
	s := newSession(d, j)
	go s.run(total)
	err := s.writeChunks(total, sink)
	stop(err)
	<-s.done
	return classifyError(ctx, err)
}

// classifyError returns err as an error with a kind. An error that already has
// a kind is returned unchanged.
func classifyError(ctx context.Context, err error) error {
	var classified *classifier.Error
	switch {
	case err == nil || errors.As(err, &classified):
		return err
	case errors.Is(err, errTotalTimeout):
		return classifier.Wrap(classifier.Timeout, err, "the answer took too long")
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.Canceled):
		return classifier.Wrap(classifier.OutcomeUnknown, errors.Join(err, context.Cause(ctx)), "the router has stopped before the answer ended")
	case ctx.Err() != nil:
		return classifier.Wrap(classifier.CallerGone, err, "the caller went away")
	}
	return classifier.Wrap(classifier.UpstreamFailed, err, "no attempt succeeded")
}
