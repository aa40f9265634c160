package receiver

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/kataras/iris/v12"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// output writes an answer to a caller, each write under a deadline.
type output struct {
	ctx        iris.Context
	controller *http.ResponseController
	timeout    time.Duration
}

func newOutput(ctx iris.Context, policy checker.StreamPolicy) output {
	return output{
		ctx:        ctx,
		controller: http.NewResponseController(ctx.ResponseWriter().Naive()),
		timeout:    policy.CallerWriteTimeout.Std(),
	}
}

// write sends data at once.
func (o output) write(data []byte) error {
	if err := o.controller.SetWriteDeadline(time.Now().Add(o.timeout)); err != nil {
		return classifier.Wrap(classifier.CallerGone, err, "the caller went away")
	}
	_, err := o.ctx.Write(data)
	if err == nil {
		err = o.controller.Flush()
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return classifier.Wrap(classifier.CallerTooSlow, err, "the caller took no byte in time")
	}
	return classifier.Wrap(classifier.CallerGone, err, "the caller went away")
}

// end lifts the deadline, so that the connection can serve the next request.
func (o output) end() { _ = o.controller.SetWriteDeadline(time.Time{}) }
