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

// Causes of exchanges that failed by what an upstream said.
var (
	errLost    = errors.New("upstream does not know the answer any more")
	errWeights = errors.New("upstream answered with other weights")
)

// exchange has the current upstream send the rest of the answer.
func (s *session) exchange(ctx context.Context, action resumer.Action) (resumer.Break, error) {
	call, err := s.call(action)
	if err != nil {
		return resumer.Break{Final: true}, err
	}
	answer, err := s.d.cfg.Caller.Do(ctx, s.choice.Target, call)
	if err != nil {
		return s.contactBreak(err), err
	}
	b := resumer.Break{Sent: true, Reused: answer.Reused, Known: s.known}
	if err := s.checkHead(&b, answer, action); err != nil {
		answer.Discard()
		return b, err
	}
	passed := s.seq.Passed()
	err = s.relay(ctx, parser.NewReader(answer))
	b.Advanced = s.seq.Passed() > passed
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

func (s *session) contactBreak(err error) resumer.Break {
	b := resumer.Break{Known: s.known, Silent: errors.Is(err, caller.ErrSilent)}
	var failure *caller.Failure
	if errors.As(err, &failure) {
		b.Sent = failure.Sent
		b.Reused = failure.Reused
	}
	return b
}

// call returns the next call of the answer.
func (s *session) call(action resumer.Action) (caller.Call, error) {
	s.exchanges++
	streams := s.job.Bundle.Policy.Streams
	now := time.Now()
	call := caller.Call{
		RequestID:      s.job.ID,
		Attempt:        s.exchanges,
		Organisation:   s.job.Organisation.Name,
		WeightsVersion: s.job.Model.WeightsVersion,
		Priority:       string(s.job.Priority),
		Identified:     true,
		IdleTimeout:    streams.IdleTimeout.Std(),
	}
	if action == resumer.Resume {
		call.Method = http.MethodGet
		call.Path = s.resumePath()
		call.NewConnection = true
		call.FirstByteBy = now.Add(streams.IdleTimeout.Std())
		return call, nil
	}
	s.postAttempt = s.exchanges
	body, err := s.body()
	call.Method = http.MethodPost
	call.Path = s.job.Path
	call.ContentType = "application/json"
	call.Body = body
	call.ImportBlocks = s.choice.ImportBlocks
	call.Export = s.choice.Export
	call.FirstByteBy = now.Add(streams.FirstByteTimeout.Std())
	return call, err
}

func (s *session) resumePath() string {
	query := url.Values{}
	query.Set(encoder.ParamOffset, strconv.FormatUint(s.seq.Passed(), 10))
	query.Set(encoder.ParamModel, s.job.Model.Name)
	query.Set(encoder.ParamChat, strconv.FormatBool(len(s.job.Request.Messages) > 0))
	query.Set(encoder.ParamAttempt, strconv.Itoa(s.postAttempt))
	return encoder.PathStreams + url.PathEscape(s.job.ID) + "?" + query.Encode()
}

// body returns the request as engines take it: always streamed, so that a
// whole answer can be told from a part.
func (s *session) body() ([]byte, error) {
	r := s.job.Request
	r.Stream = true
	r.Priority = ""
	r.ContinueTokens = int(s.seq.Passed())
	r.ContinueText = s.text.String()
	body, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	return body, nil
}

// checkHead reports what the head of an answer says against it.
func (s *session) checkHead(b *resumer.Break, answer *caller.Answer, action resumer.Action) error {
	if answer.Status != http.StatusOK {
		b.Lost = action == resumer.Resume
		b.Refused = !b.Lost
		b.Final = b.Refused && finalStatus(answer.Status)
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
		s.stop()
		return errWeights
	}
	incarnation := answer.Header.Get(encoder.HeaderIncarnation)
	if s.known && incarnation != s.incarnation {
		b.Lost = true
		return errLost
	}
	s.known = true
	s.incarnation = incarnation
	return nil
}

// finalStatus tells refusals that any engine would repeat.
func finalStatus(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	}
	return false
}

// relay moves the events of one connection to the ring, each chunk once and in
// order, up to the explicit end.
func (s *session) relay(ctx context.Context, events *parser.Reader) error {
	for {
		event, err := events.Next()
		if err != nil {
			return noEOF(err)
		}
		step, err := s.seq.Take(event)
		if err != nil {
			return err
		}
		if step.End {
			return nil
		}
		if !step.Deliver {
			continue
		}
		if err := s.deliver(ctx, step); err != nil {
			return err
		}
	}
}

func (s *session) deliver(ctx context.Context, step sequencer.Step) error {
	if !s.advanced {
		s.advanced = true
		s.d.cfg.Chooser.FirstToken(time.Now(), s.choice)
	}
	if s.job.Model.ContinueElsewhere {
		s.text.WriteString(step.Chunk.Text())
	}
	return s.ring.Push(ctx, delivery{number: step.Number, chunk: step.Chunk, upstream: s.choice.Target.Name})
}

// noEOF turns an end of the connection into an error that says so.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// crossed reports whether err tells of an answer to another request.
func crossed(err error) bool {
	var fault *sequencer.Fault
	if errors.As(err, &fault) {
		return fault.Kind == sequencer.Crossed
	}
	return errors.Is(err, caller.ErrCrossed)
}
