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

// hasBegun reports whether the caller may have got a part of the response.
func hasBegun(ctx iris.Context) bool { return ctx.ResponseWriter().Written() != context.NoWritten }

// deadlineWriter writes a response to a caller and sets a new deadline for each
// write, so that a caller that stops reading cannot block its request forever.
type deadlineWriter struct {
	ctx        iris.Context
	controller *http.ResponseController
	timeout    time.Duration
}

func newDeadlineWriter(ctx iris.Context, policy checker.StreamPolicy) deadlineWriter {
	return deadlineWriter{
		ctx:        ctx,
		controller: http.NewResponseController(ctx.ResponseWriter().Naive()),
		timeout:    policy.CallerWriteTimeout.Std(),
	}
}

// write sends data without buffering. A missed deadline gives CallerTooSlow, any
// other failure CallerGone.
func (w deadlineWriter) write(data []byte) error {
	if err := w.controller.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		return classifier.Wrap(classifier.CallerGone, err, "the caller went away")
	}
	_, err := w.ctx.Write(data)
	if err == nil {
		err = w.controller.Flush()
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
func (w deadlineWriter) clearDeadline() { _ = w.controller.SetWriteDeadline(time.Time{}) }
