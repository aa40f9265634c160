// Package dispatcher takes one request to an upstream and its answer back.
package dispatcher

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// errTotalTimeout ends an answer that takes longer than the bundle allows.
var errTotalTimeout = errors.New("answer took too long")

// Config holds what a Dispatcher is built from.
type Config struct {
	Caller  *caller.Caller
	Chooser Chooser
	// Claims keeps calls with an idempotency key from running twice; nil
	// refuses such calls.
	Claims Claims
	Log    *logrus.Entry
	// Count is told of occurrences; nil ignores them.
	Count func(o Occurrence, n int)
}

// Dispatcher serves completion requests and calls of plain services.
type Dispatcher struct {
	cfg Config
}

// New returns a Dispatcher.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{cfg: cfg}
}

// Complete serves j and hands its answer to sink. An error after the first
// chunk means that the answer is not whole.
func (d *Dispatcher) Complete(ctx context.Context, j Job, sink Sink) error {
	total, cancel := context.WithTimeoutCause(ctx, j.Bundle.Policy.Streams.TotalTimeout.Std(), errTotalTimeout)
	defer cancel()
	total, stop := context.WithCancelCause(total)
	defer stop(nil)
	s := newSession(d, j)
	go s.run(total)
	err := s.write(total, sink)
	stop(err)
	<-s.done
	return ending(ctx, err)
}

// ending gives an error that has no kind yet the kind of its cause.
func ending(ctx context.Context, err error) error {
	var known *classifier.Error
	switch {
	case err == nil || errors.As(err, &known):
		return err
	case errors.Is(err, errTotalTimeout):
		return classifier.Wrap(classifier.Timeout, err, "the answer took too long")
	case ctx.Err() != nil:
		return classifier.Wrap(classifier.CallerGone, err, "the caller went away")
	}
	return classifier.Wrap(classifier.UpstreamFailed, err, "no attempt succeeded")
}
