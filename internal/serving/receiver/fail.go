package receiver

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

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

// fail ends a response with err. A caller that has got nothing of it gets an error
// response. One that has begun ends with its connection, so that it does not look complete,
// after an error event if it is a stream.
func (r *Receiver) fail(p *response, err error) {
	begun, detail := p.hasBegun(), newErrorDetail(p.id, err, time.Now())
	level := logrus.InfoLevel
	if begun {
		level = logrus.WarnLevel
	}
	r.cfg.Log.WithError(err).WithFields(logrus.Fields{
		"event": "response_failed", "request_id": p.id, "kind": detail.Kind, "begun": begun,
	}).Log(level, "response ends with an error")
	if !begun {
		r.writeError(p, detail)
		return
	}
	if p.streamed {
		p.writeErrorEvent(detail)
	}
	panic(http.ErrAbortHandler)
}

// writeError writes an error response.
func (r *Receiver) writeError(p *response, detail errorDetail) {
	if detail.RetryAfterSeconds > 0 {
		p.ctx.Header("Retry-After", strconv.Itoa(detail.RetryAfterSeconds))
	}
	p.ctx.Header(encoder.HeaderRequestID, p.id)
	p.ctx.Header(encoder.HeaderNotRun, strconv.FormatBool(detail.NotRun))
	p.ctx.StatusCode(classifier.AnswerOf(detail.Kind).Status)
	_ = p.ctx.JSON(errorBody{Error: detail})
}

// writeErrorEvent writes an error event. It fails only if the caller has gone.
func (p *response) writeErrorEvent(detail errorDetail) {
	data, err := json.Marshal(errorBody{Error: detail})
	if err != nil {
		panic(fmt.Sprintf("encode error event of request %s: %v", p.id, err)) // its fields are texts and numbers
	}
	_ = p.write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", data))
}
