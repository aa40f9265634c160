package dispatcher

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/streaming/buffer"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/streaming/resumer"
	"gentianstep.example/gentianstep/internal/streaming/sequencer"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// ringChunks bounds the chunks that wait for a slow caller.
const ringChunks = 32

// delivery is one chunk on its way to the caller.
type delivery struct {
	number   uint64
	chunk    encoder.Chunk
	upstream string
}

// session is one answer in the making. Its run reads from upstreams, while the
// goroutine of the caller's request writes.
type session struct {
	d    *Dispatcher
	job  Job
	ring *buffer.Ring[delivery]
	seq  *sequencer.Sequencer
	done chan struct{}

	excluded  map[string]bool
	attempts  int
	exchanges int
	resumes   int
	// text is what the caller has, kept where another engine may go on from it.
	text strings.Builder
	visit
	ledger
}

// visit is what is known of the upstream of the current attempt.
type visit struct {
	choice Choice
	// postAttempt is the number of the exchange that sent the request.
	postAttempt int
	incarnation string
	known       bool
	advanced    bool
}

// ledger records what may be said of the request when no answer comes.
type ledger struct {
	sent    bool
	refused bool
	final   bool
	silent  bool
	last    error
}

func newSession(d *Dispatcher, j Job) *session {
	return &session{
		d:        d,
		job:      j,
		ring:     buffer.New[delivery](ringChunks),
		seq:      sequencer.New(sequencer.Config{RequestID: j.ID, MaxTokens: j.Request.MaxTokens}),
		done:     make(chan struct{}),
		excluded: make(map[string]bool),
	}
}

// write hands the chunks of the ring to sink until the answer ends.
func (s *session) write(ctx context.Context, sink Sink) error {
	for {
		next, more, err := s.ring.Pop(ctx)
		if err != nil || !more {
			return err
		}
		if head, ok := sink.(HeadSink); ok && next.number == 1 {
			head.Head(next.upstream)
		}
		if err := sink.Chunk(next.number, next.chunk); err != nil {
			return err
		}
	}
}

// run fills the ring until the answer is whole or cannot become so.
func (s *session) run(ctx context.Context) {
	defer close(s.done)
	s.ring.End(s.serve(ctx))
	s.d.count(DuplicateChunk, s.seq.Duplicates())
}

func (s *session) serve(ctx context.Context) error {
	action := resumer.Send
	for {
		if action != resumer.Resume {
			if err := s.choose(ctx); err != nil {
				return s.refusal(err)
			}
		}
		b, err := s.exchange(ctx, action)
		if err == nil {
			s.d.cfg.Chooser.Finished(time.Now(), s.choice)
			return nil
		}
		if ctx.Err() != nil {
			s.d.cfg.Chooser.Abandoned(time.Now(), s.choice)
			s.cancel(b)
			return context.Cause(ctx)
		}
		action = s.decide(b, err)
		if action == resumer.GiveUp {
			return s.failure()
		}
	}
}

// pin decides on the weights version of the next attempt, as long as the
// caller has nothing of the answer.
func (s *session) pin() {
	p, ok := s.d.cfg.Chooser.(Pinner)
	if !ok || s.seq.Passed() > 0 {
		return
	}
	j := s.job
	if m, ok := j.Bundle.Model(j.Model.Name); ok {
		j.Model = m
	}
	s.job.Model.WeightsVersion = p.Pin(j, s.excluded)
}

func (s *session) choose(ctx context.Context) error {
	s.pin()
	choice, err := s.d.cfg.Chooser.Choose(ctx, s.job, s.attempts+1, s.excluded)
	if err != nil {
		return err
	}
	s.attempts++
	s.visit = visit{choice: choice}
	s.d.cfg.Chooser.Sent(time.Now(), choice)
	return nil
}

// decide settles how to go on after a failed exchange.
func (s *session) decide(b resumer.Break, cause error) resumer.Action {
	s.record(b, cause)
	decision := resumer.Decide(resumer.Progress{
		Passed:            s.seq.Passed(),
		Resumes:           s.resumes,
		MaxResumes:        s.job.Bundle.Policy.Streams.MaxResumes,
		Attempts:          s.attempts,
		MaxAttempts:       s.job.Bundle.Policy.Attempts.MaxAttempts,
		ContinueElsewhere: s.job.Model.ContinueElsewhere,
	}, b)
	s.d.cfg.Log.WithError(cause).WithFields(logrus.Fields{
		"event":      "stream_break",
		"request_id": s.job.ID,
		"attempt":    s.attempts,
		"upstream":   s.choice.Target.Name,
		"action":     decision.Action,
		"passed":     s.seq.Passed(),
		"resumes":    s.resumes,
		"sent":       b.Sent,
		"silent":     b.Silent,
		"reused":     b.Reused,
	}).Warn("exchange with upstream failed")
	if decision.Action == resumer.Resume {
		s.resumes++
		s.d.count(Resumed, 1)
		return decision.Action
	}
	s.leave(decision, b, cause)
	return decision.Action
}

// leave ends the visit of an upstream that gave no whole answer.
func (s *session) leave(decision resumer.Decision, b resumer.Break, cause error) {
	if decision.Action == resumer.Continue {
		s.d.count(Continued, 1)
	}
	s.cancel(b)
	if !decision.Blame {
		s.d.cfg.Chooser.Abandoned(time.Now(), s.choice)
		return
	}
	s.excluded[s.choice.Target.Name] = true
	s.d.cfg.Chooser.Failed(time.Now(), s.choice, cause)
}

// cancel stops what the upstream may still do for the request.
func (s *session) cancel(b resumer.Break) {
	if b.Refused || b.Lost || s.postAttempt == 0 {
		return
	}
	if s.visitSent(b) {
		s.stop()
	}
}

// stop has the upstream give up the current attempt.
func (s *session) stop() {
	if s.d.cfg.Caller.Cancel(s.choice.Target, s.job.ID, s.postAttempt) {
		s.d.count(Cancelled, 1)
		return
	}
	s.d.count(CancelDropped, 1)
}

// visitSent reports whether the upstream may have the request.
func (s *session) visitSent(b resumer.Break) bool {
	return b.Sent || s.known || s.exchanges > s.postAttempt
}

func (s *session) record(b resumer.Break, cause error) {
	s.last = cause
	s.silent = b.Silent
	s.final = s.final || b.Final
	s.refused = s.refused || b.Refused
	s.sent = s.sent || (b.Sent && !notRun(cause))
	if b.Silent {
		s.d.count(Silent, 1)
	}
	if b.Silent || b.Reused {
		s.d.cfg.Caller.CloseIdle(s.choice.Target)
	}
	if crossed(cause) {
		s.d.count(Crossed, 1)
	}
}

// notRun reports whether the upstream itself said that it ran nothing.
func notRun(cause error) bool {
	var failure *caller.Failure
	return errors.As(cause, &failure) && failure.NotRun
}

// refusal returns what to tell when no upstream could be chosen.
func (s *session) refusal(err error) error {
	if s.last == nil {
		return err
	}
	s.last = errors.Join(err, s.last)
	return s.failure()
}

// failure returns the truth about an answer that will not become whole.
func (s *session) failure() error {
	passed := s.seq.Passed()
	switch {
	case passed > 0:
		s.d.count(Broken, 1)
		return classifier.Wrap(classifier.StreamBroken, s.last, "the answer broke off after %d chunks", passed)
	case s.final:
		return classifier.Wrap(classifier.InvalidRequest, s.last, "the engine does not take the request")
	case !s.sent && s.refused:
		return classifier.Wrap(classifier.UpstreamRefused, s.last, "every upstream refused the request")
	case !s.sent:
		return classifier.Wrap(classifier.NoUpstream, s.last, "no upstream could be reached")
	case s.silent:
		return classifier.Wrap(classifier.Timeout, s.last, "no upstream answered in time")
	}
	return classifier.Wrap(classifier.UpstreamFailed, s.last, "no attempt succeeded")
}
