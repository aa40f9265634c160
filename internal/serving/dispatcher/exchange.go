package dispatcher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/streaming/parser"
	"gentianstep.example/gentianstep/internal/streaming/resumer"
	"gentianstep.example/gentianstep/internal/streaming/sequencer"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// Errors for response heads that do not match the request or the answer so far.
var (
	errAnswerLost   = errors.New("upstream has restarted and lost the answer")
	errWrongWeights = errors.New("upstream answered with another weights version")
)

// runExchange requests the rest of the answer from the current upstream and
// relays it. A connection that fails after the chunk with the finish reason is
// not an error, because the answer is already complete.
func (s *session) runExchange(ctx context.Context, action resumer.Action) (resumer.Failure, error) {
	s.sentAt = time.Now()
	call, err := s.newCall(action)
	if err != nil {
		return resumer.Failure{Permanent: true}, err
	}
	answer, err := s.d.cfg.Caller.Do(ctx, s.choice.Target, call)
	if err != nil {
		return s.breakFromCallError(err), err
	}
	b := resumer.Failure{Sent: true, Reused: answer.Reused, Responded: s.answerStarted}
	if err := s.checkResponseHead(&b, answer, action); err != nil {
		answer.Discard()
		return b, err
	}
	passed := s.seq.DeliveredChunks()
	err = s.relayEvents(ctx, parser.NewReader(answer))
	b.Advanced = s.seq.DeliveredChunks() > passed
	b.Silent = errors.Is(err, caller.ErrSilent)
	switch {
	case err == nil:
		_ = answer.Finish()
		return b, nil
	case s.seq.Finished():
		answer.Discard()
		return b, nil
	}
	answer.Discard()
	return b, err
}

// breakFromCallError describes a call that failed before it returned an answer.
func (s *session) breakFromCallError(err error) resumer.Failure {
	b := resumer.Failure{Responded: s.answerStarted, Silent: errors.Is(err, caller.ErrSilent)}
	var failure *caller.Failure
	if errors.As(err, &failure) {
		b.Sent = failure.Sent
		b.Reused = failure.Reused
	}
	return b
}

// newCall returns the next call for the answer: a GET that resumes the stream,
// or a POST of the request.
func (s *session) newCall(action resumer.Action) (caller.Call, error) {
	s.exchanges++
	streams := s.job.Bundle.Policy.Streams
	now := time.Now()
	call := caller.Call{
		RequestID:      s.job.ID,
		Attempt:        s.exchanges,
		Organisation:   s.job.Organisation.Name,
		WeightsVersion: s.job.Model.WeightsVersion,
		Priority:       string(s.job.Priority),
		RequireEcho:    true,
		IdleTimeout:    streams.IdleTimeout.Std(),
	}
	if action == resumer.Resume {
		call.Method = http.MethodGet
		call.Path = s.resumePath()
		call.NewConnection = true
		call.Running = true
		call.FirstByteDeadline = now.Add(streams.IdleTimeout.Std())
		return call, nil
	}
	s.postExchange = s.exchanges
	body, err := s.requestBody()
	call.Method = http.MethodPost
	call.Path = s.job.Path
	call.ContentType = "application/json"
	call.Body = body
	call.ImportBlocks = s.choice.ImportBlocks
	call.Export = s.choice.Export
	call.FirstByteDeadline = now.Add(streams.FirstByteTimeout.Std())
	return call, err
}

func (s *session) resumePath() string {
	query := url.Values{}
	query.Set(encoder.ParamOffset, strconv.FormatUint(s.seq.DeliveredChunks(), 10))
	query.Set(encoder.ParamModel, s.job.Model.Name)
	query.Set(encoder.ParamChat, strconv.FormatBool(len(s.job.Request.Messages) > 0))
	query.Set(encoder.ParamAttempt, strconv.Itoa(s.postExchange))
	return encoder.PathStreams + url.PathEscape(s.job.ID) + "?" + query.Encode()
}

// requestBody returns the request body for an engine. It always asks for a
// stream, because only a stream shows whether the answer is complete.
func (s *session) requestBody() ([]byte, error) {
	r := s.job.Request
	r.Stream = true
	r.Priority = ""
	r.ContinueTokens = int(s.seq.DeliveredChunks())
	r.ContinueText = s.deliveredText.String()
	body, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	return body, nil
}

// checkResponseHead validates the status, the weights version and the instance
// of a response, and records the mismatch in b.
func (s *session) checkResponseHead(b *resumer.Failure, answer *caller.Response, action resumer.Action) error {
	if answer.Status != http.StatusOK {
		b.StreamLost = action == resumer.Resume
		b.Refused = !b.StreamLost
		b.Permanent = b.Refused && isPermanentRefusal(answer.Status)
		return &caller.Failure{
			Upstream: s.choice.Target.Name,
			Status:   answer.Status,
			NotRun:   answer.NotRun(),
			Leaving:  answer.Leaving(),
			Sent:     true,
			Reused:   answer.Reused,
		}
	}
	if answer.Header.Get(encoder.HeaderWeightsVersion) != s.job.Model.WeightsVersion {
		b.Refused = true
		s.sendCancel()
		return errWrongWeights
	}
	incarnation := answer.Header.Get(encoder.HeaderIncarnation)
	if s.answerStarted && incarnation != s.incarnation {
		b.StreamLost = true
		return errAnswerLost
	}
	s.answerStarted = true
	s.incarnation = incarnation
	return nil
}

// isPermanentRefusal reports whether every engine would refuse the request with
// this status, so that a retry is useless.
func isPermanentRefusal(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	}
	return false
}

// relayEvents moves the events of one connection to the ring, each chunk once
// and in order, until the end marker of the stream.
func (s *session) relayEvents(ctx context.Context, events *parser.Reader) error {
	for {
		event, err := events.Next()
		if err != nil {
			return unexpectedEOF(err)
		}
		step, err := s.seq.CheckEvent(event)
		if err != nil {
			return err
		}
		if step.End {
			return nil
		}
		if !step.Deliver {
			continue
		}
		if err := s.deliverChunk(ctx, step); err != nil {
			return err
		}
	}
}

func (s *session) deliverChunk(ctx context.Context, step sequencer.EventResult) error {
	if !s.firstTokenSeen {
		s.firstTokenSeen = true
		s.d.cfg.Chooser.FirstToken(time.Now(), s.choice)
	}
	if s.job.Model.ContinueElsewhere {
		s.deliveredText.WriteString(step.Chunk.Text())
	}
	return s.ring.Push(ctx, numberedChunk{number: step.Number, chunk: step.Chunk, upstream: s.choice.Target.Name})
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, because a connection
// must not end before the end marker of the stream.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// isCrossed reports whether err means that the upstream returned the answer to
// another request.
func isCrossed(err error) bool {
	var fault *sequencer.StreamError
	if errors.As(err, &fault) {
		return fault.Kind == sequencer.Crossed
	}
	return errors.Is(err, caller.ErrResponseMismatch)
}
