package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// Shutdown holds the times of the end of a VM.
type Shutdown struct {
	// AcceptUntil is until when requests are sent whose deadline is after AnswerBy.
	AcceptUntil time.Time
	// AnswerBy is when each open request gets its final response.
	AnswerBy time.Time
	// UnreachableAt is when clients that come back reach other VMs.
	UnreachableAt time.Time
}

// returnSpread is the time over which clients come back that a stopping VM refuses.
const returnSpread = 200 * time.Millisecond

// errShutdown is the error of an attempt that was under way at Shutdown.AnswerBy.
var errShutdown = errors.New("the VM has stopped")

// readDeadlinePassed is a read deadline in the past.
var readDeadlinePassed = time.Unix(1, 0)

// Stop makes clients leave this VM: all further responses have "Connection: close". A request
// that is not known to end before s.AnswerBy is refused from s.AcceptUntil on unless an
// upstream may have run it, and each open one gets its final response at s.AnswerBy.
func (f *Forwarder) Stop(s Shutdown) {
	f.shutdown.Store(&s)
	time.AfterFunc(time.Until(s.AcceptUntil), func() { f.wakeWaiting("") })
	time.AfterFunc(time.Until(s.AnswerBy), func() { f.end(errShutdown) })
}

// withShutdown returns a context that is cancelled with errShutdown at Shutdown.AnswerBy.
func (x *exchange) withShutdown(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(x.ended, func() { cancel(errShutdown) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// checkShutdown returns the refusal of a request that the VM cannot answer before it ends, or
// nil.
func (x *exchange) checkShutdown(now time.Time) *classifier.Error {
	s := x.shutdown.Load()
	if s == nil {
		return nil
	}
	if x.ended.Err() == nil && now.Before(s.AnswerBy) && (x.mayHaveRun || now.Before(s.AcceptUntil) || !x.deadline.After(s.AnswerBy)) {
		return nil
	}
	return s.refusal(now)
}

// refusal returns the refusal of a request that was not sent.
func (s *Shutdown) refusal(now time.Time) *classifier.Error {
	err := classifier.New(classifier.ShuttingDown, "the VM is stopping")
	at := now
	if s.UnreachableAt.After(now) {
		at = s.UnreachableAt
	}
	err.RetryAt = at.Add(rand.N(returnSpread))
	return err
}

// endError returns the error of a request whose ctx is done, or whose deadline is too close
// for another attempt.
func (x *exchange) endError(ctx context.Context, err error) *classifier.Error {
	if !errors.Is(context.Cause(ctx), errShutdown) {
		return x.deadlineError(err)
	}
	if !x.mayHaveRun {
		return x.shutdown.Load().refusal(time.Now())
	}
	return classifier.Wrap(classifier.OutcomeUnknown, err, "the VM has stopped before the upstream has answered")
}

// endReadAtShutdown ends reading the body at Shutdown.AnswerBy. The returned function undoes
// that, and returns false if it is too late.
func (x *exchange) endReadAtShutdown() func() bool {
	return context.AfterFunc(x.ended, x.endRead)
}
