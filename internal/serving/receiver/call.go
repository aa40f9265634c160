package receiver

import (
	"slices"

	"github.com/kataras/iris/v12"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/operating/reserver"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
)

// serveServiceCall forwards a call of a plain service and writes its response.
func (r *Receiver) serveServiceCall(ctx iris.Context) {
	info, err := r.authenticate(ctx)
	p := newResponse(ctx, info.id)
	if err != nil {
		r.fail(p, err)
		return
	}
	memory := r.openMemory(ctx)
	defer memory.Release()
	job, err := newServiceJob(ctx, info, memory)
	if err != nil {
		r.fail(p, err)
		return
	}
	answer, err := r.cfg.Dispatcher.Call(ctx.Request().Context(), job)
	if err != nil {
		r.fail(p, err)
		return
	}
	p.setPolicy(job.Bundle.Policy.Streams)
	defer p.clearDeadline()
	p.setHead(answer.Status, answer.ContentType)
	if err := p.write(answer.Body); err != nil {
		r.fail(p, err)
	}
}

// newServiceJob builds the job of a service call from its path, headers and
// body, provided that the organisation may use the service.
func newServiceJob(ctx iris.Context, info requestInfo, memory *reserver.Reservation) (dispatcher.ServiceJob, error) {
	name := ctx.Params().Get("service")
	service, ok := info.bundle.Service(name)
	if !ok {
		return dispatcher.ServiceJob{}, classifier.New(classifier.NotFound, "service %q is not known", name)
	}
	allowed := info.organisation.Services
	if len(allowed) > 0 && !slices.Contains(allowed, name) {
		return dispatcher.ServiceJob{}, classifier.New(classifier.Forbidden, "service %q is not open to this organisation", name)
	}
	body, err := readBody(ctx, memory)
	if err != nil {
		return dispatcher.ServiceJob{}, err
	}
	return dispatcher.ServiceJob{
		ID:             info.id,
		Bundle:         info.bundle,
		Organisation:   info.organisation,
		Service:        service,
		Method:         ctx.Method(),
		Path:           "/" + ctx.Params().Get("path"),
		Query:          ctx.Request().URL.RawQuery,
		ContentType:    ctx.GetHeader("Content-Type"),
		IdempotencyKey: ctx.GetHeader(encoder.HeaderIdempotencyKey),
		Body:           body,
	}, nil
}
