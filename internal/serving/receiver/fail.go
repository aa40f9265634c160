package receiver

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
)

// errorBody is the body of every error response and error event.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Kind      classifier.Kind `json:"kind"`
	Message   string          `json:"message"`
	RequestID string          `json:"request_id"`
	// NotRun is true if no byte of the request reached an upstream, or the
	// upstream refused the request before running it.
	NotRun bool `json:"not_run"`
	// RetryAfterSeconds is 0 if the request should not be retried.
	RetryAfterSeconds int `json:"retry_after_seconds"`
}

// newErrorDetail describes err to the caller. Errors without a kind are shown as
// internal errors, so that their text is not disclosed.
func newErrorDetail(id string, err error, now time.Time) errorDetail {
	kind := classifier.KindOf(err)
	response := classifier.AnswerOf(kind)
	detail := errorDetail{
		Kind:      kind,
		Message:   "internal error",
		RequestID: id,
		NotRun:    response.NotRun,
	}
	retryDelay := response.RetryAfter
	var e *classifier.Error
	if errors.As(err, &e) {
		detail.Message = e.Detail
		if !e.RetryAt.IsZero() {
			retryDelay = e.RetryAt.Sub(now)
		}
	}
	if response.Retryable {
		detail.RetryAfterSeconds = max(1, int(math.Ceil(retryDelay.Seconds())))
	}
	return detail
}

// writeError writes err as the response of a request whose response header has
// not been sent yet.
func (r *Receiver) writeError(ctx iris.Context, id string, err error) {
	detail := newErrorDetail(id, err, time.Now())
	r.cfg.Log.WithError(err).WithField("request_id", id).WithField("kind", detail.Kind).Info("request failed before its response began")
	if detail.RetryAfterSeconds > 0 {
		ctx.Header("Retry-After", strconv.Itoa(detail.RetryAfterSeconds))
	}
	ctx.Header(encoder.HeaderRequestID, id)
	ctx.Header(encoder.HeaderNotRun, strconv.FormatBool(detail.NotRun))
	ctx.StatusCode(classifier.AnswerOf(detail.Kind).Status)
	_ = ctx.JSON(errorBody{Error: detail})
}

// writeErrorEvent ends a stream that has begun with an error event, from which
// the caller can tell that the answer is incomplete.
func (r *Receiver) writeErrorEvent(sink *streamSink, id string, err error) {
	detail := newErrorDetail(id, err, time.Now())
	r.cfg.Log.WithError(err).WithField("request_id", id).WithField("kind", detail.Kind).Warn("stream failed after its response began")
	data, err := json.Marshal(errorBody{Error: detail})
	if err != nil {
		return
	}
	_ = sink.w.write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", data))
}
