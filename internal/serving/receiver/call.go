package receiver

import (
	"slices"

	"github.com/kataras/iris/v12"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
)

func (r *Receiver) call(ctx iris.Context) {
	a, err := r.admit(ctx)
	if err != nil {
		r.fail(ctx, a.id, err)
		return
	}
	job, err := newServiceJob(ctx, a)
	if err != nil {
		r.fail(ctx, a.id, err)
		return
	}
	answer, err := r.cfg.Dispatcher.Call(ctx.Request().Context(), job)
	if err != nil {
		r.fail(ctx, a.id, err)
		return
	}
	out := newOutput(ctx, job.Bundle.Policy.Streams)
	defer out.end()
	ctx.ContentType(answer.ContentType)
	ctx.StatusCode(answer.Status)
	_ = out.write(answer.Body)
}

func newServiceJob(ctx iris.Context, a admission) (dispatcher.ServiceJob, error) {
	name := ctx.Params().Get("service")
	service, ok := a.bundle.Service(name)
	if !ok {
		return dispatcher.ServiceJob{}, classifier.New(classifier.NotFound, "service %q is not known", name)
	}
	allowed := a.organisation.Services
	if len(allowed) > 0 && !slices.Contains(allowed, name) {
		return dispatcher.ServiceJob{}, classifier.New(classifier.Forbidden, "service %q is not open to this organisation", name)
	}
	body, err := readBody(ctx)
	if err != nil {
		return dispatcher.ServiceJob{}, err
	}
	return dispatcher.ServiceJob{
		ID:             a.id,
		Bundle:         a.bundle,
		Organisation:   a.organisation,
		Service:        service,
		Method:         ctx.Method(),
		Path:           "/" + ctx.Params().Get("path"),
		Query:          ctx.Request().URL.RawQuery,
		ContentType:    ctx.GetHeader("Content-Type"),
		IdempotencyKey: ctx.GetHeader(encoder.HeaderIdempotencyKey),
		Body:           body,
	}, nil
}
