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
	"gentianstep.example/gentianstep/internal/routing/admitter"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
)

func (r *Receiver) complete(ctx iris.Context) {
	a, err := r.admit(ctx)
	if err != nil {
		r.fail(ctx, a.id, err)
		return
	}
	job, err := newJob(ctx, a)
	if err != nil {
		r.fail(ctx, a.id, err)
		return
	}
	release, err := r.enter(ctx.Request().Context(), job)
	if err != nil {
		r.fail(ctx, a.id, err)
		return
	}
	defer release()
	if job.Request.Stream {
		r.stream(ctx, job)
		return
	}
	r.whole(ctx, job)
}

// promptBytesPerToken is the assumed size of one token of a prompt.
const promptBytesPerToken = 4

// enter waits for a slot of the router.
func (r *Receiver) enter(ctx context.Context, job dispatcher.Job) (release func(), err error) {
	if r.cfg.Gate == nil {
		return func() {}, nil
	}
	return r.cfg.Gate.Enter(ctx, admitter.Request{
		ID:           job.ID,
		Organisation: job.Organisation.Name,
		Weight:       job.Organisation.Weight,
		Priority:     job.Priority,
		Cost:         float64(len(job.Request.Text())/promptBytesPerToken + job.Request.MaxTokens),
	})
}

func newJob(ctx iris.Context, a admission) (dispatcher.Job, error) {
	body, err := readBody(ctx)
	if err != nil {
		return dispatcher.Job{}, err
	}
	request, err := encoder.DecodeRequest(body)
	if err != nil {
		return dispatcher.Job{}, err
	}
	model, err := modelOf(a, request)
	if err != nil {
		return dispatcher.Job{}, err
	}
	priority := a.organisation.Priority
	if request.Priority != "" {
		priority = checker.Priority(request.Priority)
	}
	return dispatcher.Job{
		ID:           a.id,
		Bundle:       a.bundle,
		Organisation: a.organisation,
		Model:        model,
		Priority:     priority,
		Path:         ctx.Path(),
		Request:      request,
	}, nil
}

func modelOf(a admission, request encoder.Request) (checker.Model, error) {
	model, ok := a.bundle.Model(request.Model)
	if !ok {
		return checker.Model{}, classifier.New(classifier.NotFound, "model: got %q, which is not served", request.Model)
	}
	allowed := a.organisation.Models
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
	out     output
	started bool
}

// WriteChunk implements dispatcher.Sink.
func (s *streamSink) WriteChunk(n uint64, c encoder.Chunk) error {
	s.start()
	data, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("encode chunk: %w", err)
	}
	return s.out.write(fmt.Appendf(nil, "id: %d\ndata: %s\n\n", n, data))
}

// Head implements dispatcher.HeadSink.
func (s *streamSink) Head(upstream string) {
	s.out.ctx.Header(encoder.HeaderUpstream, upstream)
}

func (s *streamSink) start() {
	if s.started {
		return
	}
	s.started = true
	s.out.ctx.ContentType("text/event-stream")
	s.out.ctx.Header("Cache-Control", "no-store")
	s.out.ctx.StatusCode(http.StatusOK)
}

func (r *Receiver) stream(ctx iris.Context, job dispatcher.Job) {
	sink := &streamSink{out: newOutput(ctx, job.Bundle.Policy.Streams)}
	defer sink.out.end()
	err := r.cfg.Dispatcher.Complete(ctx.Request().Context(), job, sink)
	switch {
	case err == nil:
		_ = sink.out.write([]byte("data: " + encoder.Done + "\n\n"))
	case !sink.started:
		r.fail(ctx, job.ID, err)
	default:
		r.failStream(sink, job.ID, err)
	}
}

// wholeSink gathers the chunks of an answer.
type wholeSink struct {
	text strings.Builder
	last encoder.Chunk
}

// WriteChunk implements dispatcher.Sink.
func (s *wholeSink) WriteChunk(_ uint64, c encoder.Chunk) error {
	s.text.WriteString(c.Text())
	s.last = c
	return nil
}

// answer returns the whole answer in the shape of its request.
func (s *wholeSink) answer() encoder.Chunk {
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

func (r *Receiver) whole(ctx iris.Context, job dispatcher.Job) {
	sink := &wholeSink{}
	if err := r.cfg.Dispatcher.Complete(ctx.Request().Context(), job, sink); err != nil {
		r.fail(ctx, job.ID, err)
		return
	}
	data, err := json.Marshal(sink.answer())
	if err != nil {
		r.fail(ctx, job.ID, fmt.Errorf("encode answer: %w", err))
		return
	}
	out := newOutput(ctx, job.Bundle.Policy.Streams)
	defer out.end()
	ctx.ContentType("application/json")
	ctx.StatusCode(http.StatusOK)
	_ = out.write(data)
}
