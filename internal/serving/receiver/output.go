package receiver

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/kataras/iris/v12/context"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// response is the response to a caller. It sets a new deadline for each write, so that a
// caller that stops reading cannot block its request forever.
type response struct {
	ctx        iris.Context
	controller *http.ResponseController
	// id is the ID of the request.
	id string
	// timeout bounds each write; 0 sets no bound.
	timeout time.Duration
	// streamed is true if the response is a stream, which may end with an error event.
	streamed bool
}

func newResponse(ctx iris.Context, id string) *response {
	return &response{ctx: ctx, id: id, controller: http.NewResponseController(ctx.ResponseWriter().Naive())}
}

// setPolicy sets the bound for writes of a bundle.
func (p *response) setPolicy(policy checker.StreamPolicy) {
	p.timeout = policy.CallerWriteTimeout.Std()
}

// hasBegun reports whether the caller may have got a part of the response.
func (p *response) hasBegun() bool { return p.ctx.ResponseWriter().Written() != context.NoWritten }

// setHead sets the status and the content type of a response that has not begun.
func (p *response) setHead(status int, contentType string) {
	p.ctx.ContentType(contentType)
	p.ctx.StatusCode(status)
}

// write sends data without buffering. A missed deadline gives CallerTooSlow, any
// other failure CallerGone.
func (p *response) write(data []byte) error {
	if p.timeout > 0 {
		if err := p.controller.SetWriteDeadline(time.Now().Add(p.timeout)); err != nil {
			return classifier.Wrap(classifier.CallerGone, err, "the caller went away")
		}
	}
	_, err := p.ctx.Write(data)
	if err == nil {
		err = p.controller.Flush()
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return classifier.Wrap(classifier.CallerTooSlow, err, "the caller took no byte in time")
	}
	return classifier.Wrap(classifier.CallerGone, err, "the caller went away")
}

// clearDeadline removes the write deadline, so that the connection can serve the
// next request.
func (p *response) clearDeadline() { _ = p.controller.SetWriteDeadline(time.Time{}) }
