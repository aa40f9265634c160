package dispatcher

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/routing/quarantiner"
	"gentianstep.example/gentianstep/internal/streaming/buffer"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/streaming/resumer"
	"gentianstep.example/gentianstep/internal/streaming/sequencer"
	"gentianstep.example/gentianstep/internal/upstream/caller"
	"gentianstep.example/gentianstep/internal/upstream/noticer"
)

// ringCapacity is the maximum number of chunks buffered for a slow caller.
const ringCapacity = 32

// numberedChunk is a buffered chunk with its number and its upstream.
type numberedChunk struct {
	number   uint64
	chunk    encoder.Chunk
	upstream string
}

// session is the state of one answer in progress. The run goroutine reads from
// upstreams while the goroutine of the caller's request writes to the sink.
type session struct {
	d    *Dispatcher
	job  Job
	ring *buffer.Ring[numberedChunk]
	seq  *sequencer.Sequencer
	done chan struct{}

	fingerprints []quarantiner.Fingerprint

	excluded  map[string]bool
	attempts  int
	exchanges int
	resumes   int
	// deliveredText is the text delivered so far. It is collected only if the
	// model allows another engine to continue the answer.
	deliveredText strings.Builder
	attemptState
	failureSummary
}

// attemptState is the state of the current attempt at its upstream.
type attemptState struct {
	choice Choice
	// postExchange is the number of the exchange that sent the request, or 0
	// if the request was not sent yet.
	postExchange int
	incarnation  string
	// answerStarted is true once the upstream has returned a valid response
	// head; incarnation is that of the engine instance that returned it.
	answerStarted  bool
	firstTokenSeen bool
	// sentAt is when the latest exchange began. chunksBefore is the number of chunks that
	// were delivered before the attempt.
	sentAt       time.Time
	chunksBefore uint64
}

// failureSummary accumulates the failures of a request, from which the error
// for the caller is chosen. lastSilent and lastErr describe the last failure.
type failureSummary struct {
	sent       bool
	refused    bool
	permanent  bool
	lastSilent bool
	lastErr    error
}

func newSession(d *Dispatcher, j Job) *session {
	return &session{
		d:        d,
		job:      j,
		ring:     buffer.New[numberedChunk](ringCapacity),
		seq:      sequencer.New(sequencer.Config{RequestID: j.ID, MaxTokens: j.Request.MaxTokens}),
		done:     make(chan struct{}),
		excluded: make(map[string]bool),

		fingerprints: j.fingerprints(),
	}
}

// writeChunks writes the chunks of the ring to sink until the answer ends.
func (s *session) writeChunks(ctx context.Context, sink Sink) error {
	for {
		next, more, err := s.ring.Pop(ctx)
		if err != nil || !more {
			return err
		}
		if head, ok := sink.(HeadSink); ok && next.number == 1 {
			head.Head(next.upstream)
		}
		if err := sink.WriteChunk(next.number, next.chunk); err != nil {
			return err
		}
	}
}

// run fills the ring until the answer is complete or has failed.
func (s *session) run(ctx context.Context) {
	defer close(s.done)
	s.ring.CloseWithError(s.runAttempts(ctx))
	s.d.count(DuplicateChunk, s.seq.DuplicateChunks())
}

// runAttempts runs exchanges, with resumes and retries, until the answer is
// complete or no further action is possible.
func (s *session) runAttempts(ctx context.Context) error {
	action := resumer.Send
	for {
		if action != resumer.Resume {
			if err := s.chooseUpstream(ctx); err != nil {
				return s.choiceFailure(err)
			}
		}
		b, err := s.runExchange(ctx, action)
		if err == nil {
			s.d.cfg.Chooser.Finished(time.Now(), s.choice)
			s.d.recordAnswer(s.fingerprints)
			return nil
		}
		if ctx.Err() != nil {
			s.d.cfg.Chooser.Abandoned(time.Now(), s.choice)
			s.cancelIfSent(b)
			return context.Cause(ctx)
		}
		action = s.handleBreak(b, err)
		if action == resumer.GiveUp {
			return s.finalError()
		}
	}
}

// pinWeights sets the weights version of the next attempt. The version no longer
// changes once the answer has its first chunk.
func (s *session) pinWeights() {
	p, ok := s.d.cfg.Chooser.(Pinner)
	if !ok || s.seq.DeliveredChunks() > 0 {
		return
	}
	j := s.job
	if m, ok := j.Bundle.Model(j.Model.Name); ok {
		j.Model = m
	}
	s.job.Model.WeightsVersion = p.Pin(j, s.excluded)
}

func (s *session) chooseUpstream(ctx context.Context) error {
	s.pinWeights()
	if err := s.d.admit(s.fingerprints); err != nil {
		return err
	}
	choice, err := s.d.cfg.Chooser.Choose(ctx, s.job, s.attempts+1, s.excluded)
	if err != nil {
		return err
	}
	s.attempts++
	s.attemptState = attemptState{choice: choice, chunksBefore: s.seq.DeliveredChunks()}
	s.d.cfg.Chooser.Sent(time.Now(), choice)
	return nil
}

// handleBreak records a failed exchange and returns the action that follows it.
func (s *session) handleBreak(b resumer.Failure, cause error) resumer.Action {
	s.recordFailure(b, cause)
	s.recordCrash(b)
	withheld := errors.Is(cause, noticer.ErrWithheld)
	if withheld && s.postExchange == s.exchanges {
		s.attempts-- // nothing was sent, so the attempt does not count
	}
	decision := resumer.Decide(resumer.Progress{
		DeliveredChunks:   s.seq.DeliveredChunks(),
		Resumes:           s.resumes,
		MaxResumes:        s.job.Bundle.Policy.Streams.MaxResumes,
		Attempts:          s.attempts,
		MaxAttempts:       s.job.Bundle.Policy.Attempts.MaxAttempts,
		ContinueElsewhere: s.job.Model.ContinueElsewhere,
	}, b)
	decision.UpstreamAtFault = decision.UpstreamAtFault && !withheld
	s.d.cfg.Log.WithError(cause).WithFields(logrus.Fields{
		"event":      "stream_break",
		"request_id": s.job.ID,
		"attempt":    s.attempts,
		"upstream":   s.choice.Target.Name,
		"action":     decision.Action,
		"passed":     s.seq.DeliveredChunks(),
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
	s.endAttempt(decision, b, cause)
	return decision.Action
}

// endAttempt ends the failed attempt at the current upstream. The upstream is
// excluded from later attempts if it caused the failure.
func (s *session) endAttempt(decision resumer.Decision, b resumer.Failure, cause error) {
	if decision.Action == resumer.Continue {
		s.d.count(Continued, 1)
	}
	s.cancelIfSent(b)
	if !decision.UpstreamAtFault {
		s.d.cfg.Chooser.Abandoned(time.Now(), s.choice)
		return
	}
	s.excluded[s.choice.Target.Name] = true
	s.d.cfg.Chooser.Failed(time.Now(), s.choice, cause)
}

// cancelIfSent cancels the request at the upstream if the upstream may still be
// processing it.
func (s *session) cancelIfSent(b resumer.Failure) {
	if b.Refused || b.StreamLost || s.postExchange == 0 {
		return
	}
	if s.upstreamMayHaveRequest(b) {
		s.sendCancel()
	}
}

// sendCancel starts the cancellation of the current attempt at the upstream.
func (s *session) sendCancel() {
	if s.d.cfg.Caller.Cancel(s.choice.Target, s.job.ID, s.postExchange) {
		s.d.count(Cancelled, 1)
		return
	}
	s.d.count(CancelDropped, 1)
}

// upstreamMayHaveRequest reports whether the upstream may have received the
// request.
func (s *session) upstreamMayHaveRequest(b resumer.Failure) bool {
	return b.Sent || s.answerStarted || s.exchanges > s.postExchange
}

func (s *session) recordFailure(b resumer.Failure, cause error) {
	s.lastErr = cause
	s.lastSilent = b.Silent
	s.permanent = s.permanent || b.Permanent
	s.refused = s.refused || b.Refused
	s.sent = s.sent || (b.Sent && !isNotRun(cause))
	if b.Silent {
		s.d.count(Silent, 1)
	}
	if b.Silent || b.Reused {
		s.d.cfg.Caller.CloseIdle(s.choice.Target)
	}
	if isCrossed(cause) {
		s.d.count(Crossed, 1)
	}
}

// isNotRun reports whether no byte of the request was sent, or the upstream
// stated that it refused the request before running it.
func isNotRun(cause error) bool {
	var failure *caller.Failure
	return errors.As(cause, &failure) && failure.NotRun
}
