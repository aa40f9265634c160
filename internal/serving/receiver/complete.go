package receiver

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/kataras/iris/v12"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/operating/reserver"
	"gentianstep.example/gentianstep/internal/routing/admitter"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
)

// serveCompletion answers a completion or chat completion request, streamed or
// as a single JSON document.
func (r *Receiver) serveCompletion(ctx iris.Context) {
	info, err := r.authenticate(ctx)
	p := newResponse(ctx, info.id)
	if err != nil {
		r.fail(p, err)
		return
	}
	memory := r.openMemory(ctx)
	defer memory.Release()
	job, err := newJob(ctx, info, memory)
	if err != nil {
		r.fail(p, err)
		return
	}
	release, err := r.acquireSlot(ctx.Request().Context(), job)
	if err != nil {
		r.fail(p, err)
		return
	}
	defer release()
	p.setPolicy(job.Bundle.Policy.Streams)
	defer p.clearDeadline()
	if job.Request.Stream {
		r.streamCompletion(p, job)
		return
	}
	r.bufferCompletion(p, job)
}

// promptBytesPerToken is the assumed size of a prompt token in cost estimates.
const promptBytesPerToken = 4

// acquireSlot waits in the admission queue until a slot of the router is free.
func (r *Receiver) acquireSlot(ctx context.Context, job dispatcher.Job) (release func(), err error) {
	if r.cfg.AdmissionQueue == nil {
		return func() {}, nil
	}
	return r.cfg.AdmissionQueue.AcquireSlot(ctx, admitter.Request{
		ID:           job.ID,
		Organisation: job.Organisation.Name,
		Weight:       job.Organisation.Weight,
		Priority:     job.Priority,
		Cost:         float64(len(job.Request.Text())/promptBytesPerToken + job.Request.MaxTokens),
	})
}

// newJob decodes and validates a completion request. The priority of the request
// takes precedence over that of its organisation.
func newJob(ctx iris.Context, info requestInfo, memory *reserver.Reservation) (dispatcher.Job, error) {
	body, err := readBody(ctx, memory)
	if err != nil {
		return dispatcher.Job{}, err
	}
	request, err := encoder.DecodeRequest(body)
	if err != nil {
		return dispatcher.Job{}, err
	}
	model, err := resolveModel(info, request)
	if err != nil {
		return dispatcher.Job{}, err
	}
	priority := info.organisation.Priority
	if request.Priority != "" {
		priority = checker.Priority(request.Priority)
	}
	return dispatcher.Job{
		ID:           info.id,
		Bundle:       info.bundle,
		Organisation: info.organisation,
		Model:        model,
		Priority:     priority,
		Path:         ctx.Path(),
		Request:      request,
	}, nil
}

// resolveModel returns the model that the request names, provided that the
// organisation may use it and the request is within its limits.
func resolveModel(info requestInfo, request encoder.Request) (checker.Model, error) {
	model, ok := info.bundle.Model(request.Model)
	if !ok {
		return checker.Model{}, classifier.New(classifier.NotFound, "model: got %q, which is not served", request.Model)
	}
	allowed := info.organisation.Models
	if len(allowed) > 0 && !slices.Contains(allowed, model.Name) {
		return checker.Model{}, classifier.New(classifier.Forbidden, "model: %q is not open to this organisation", model.Name)
	}
	if len(request.Text()) > model.MaxPromptBytes {
		return checker.Model{}, classifier.New(classifier.TooLarge, "prompt: takes at most %d bytes", model.MaxPromptBytes)
	}
	if request.MaxTokens > model.MaxTokens {
		return checker.Model{}, classifier.New(classifier.InvalidRequest, "max_tokens: got %d, takes at most %d", request.MaxTokens, model.MaxTokens)
	}
	return model, nil
}

// streamSink writes each chunk as a server-sent event.
type streamSink struct {
	p *response
}

// WriteChunk implements dispatcher.Sink.
func (s *streamSink) WriteChunk(n uint64, c encoder.Chunk) error {
	data, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("encode completion chunk: %w", err)
	}
	if !s.p.hasBegun() {
		s.p.streamed = true
		s.p.setHead(http.StatusOK, "text/event-stream")
		s.p.ctx.Header("Cache-Control", "no-store")
	}
	return s.p.write(fmt.Appendf(nil, "id: %d\ndata: %s\n\n", n, data))
}

// Head implements dispatcher.HeadSink.
func (s *streamSink) Head(upstream string) {
	s.p.ctx.Header(encoder.HeaderUpstream, upstream)
}

// streamCompletion writes the answer as server-sent events.
func (r *Receiver) streamCompletion(p *response, job dispatcher.Job) {
	err := r.cfg.Dispatcher.Complete(p.ctx.Request().Context(), job, &streamSink{p: p})
	if err == nil {
		err = p.write([]byte("data: " + encoder.Done + "\n\n"))
	}
	if err != nil {
		r.fail(p, err)
	}
}

// bufferedSink collects the text of all chunks and keeps the last chunk, which
// has the finish reason and the usage.
type bufferedSink struct {
	text strings.Builder
	last encoder.Chunk
}

// WriteChunk implements dispatcher.Sink.
func (s *bufferedSink) WriteChunk(_ uint64, c encoder.Chunk) error {
	s.text.WriteString(c.Text())
	s.last = c
	return nil
}

// response returns the collected answer as a single document: a chat completion
// if the chunks have deltas, else a text completion.
func (s *bufferedSink) response() encoder.Chunk {
	c := s.last
	choice := &c.Choices[0]
	if choice.Delta != nil {
		choice.Message = &encoder.Message{Role: "assistant", Content: s.text.String()}
		choice.Delta = nil
		c.Object = "chat.completion"
		return c
	}
	choice.Text = s.text.String()
	return c
}

// bufferCompletion waits for the complete answer and writes it as one JSON
// document.
func (r *Receiver) bufferCompletion(p *response, job dispatcher.Job) {
	sink := &bufferedSink{}
	if err := r.cfg.Dispatcher.Complete(p.ctx.Request().Context(), job, sink); err != nil {
		r.fail(p, err)
		return
	}
	data, err := json.Marshal(sink.response())
	if err != nil {
		r.fail(p, fmt.Errorf("encode completion response: %w", err))
		return
	}
	p.setHead(http.StatusOK, "application/json")
	if err := p.write(data); err != nil {
		r.fail(p, err)
	}
}
