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

// errorBody is the body of every error answer.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Kind      classifier.Kind `json:"kind"`
	Message   string          `json:"message"`
	RequestID string          `json:"request_id"`
	NotRun    bool            `json:"not_run"`
	// RetryAfterSeconds is 0 where coming back does not help.
	RetryAfterSeconds int `json:"retry_after_seconds"`
}

func newErrorDetail(id string, err error, now time.Time) errorDetail {
	kind := classifier.KindOf(err)
	answer := classifier.AnswerOf(kind)
	detail := errorDetail{
		Kind:      kind,
		Message:   "internal error",
		RequestID: id,
		NotRun:    answer.NotRun,
	}
	wait := answer.RetryAfter
	var e *classifier.Error
	if errors.As(err, &e) {
		detail.Message = e.Detail
		if !e.RetryAt.IsZero() {
			wait = e.RetryAt.Sub(now)
		}
	}
	if answer.Retryable {
		detail.RetryAfterSeconds = max(1, int(math.Ceil(wait.Seconds())))
	}
	return detail
}

// fail answers a request that has not begun to be answered.
func (r *Receiver) fail(ctx iris.Context, id string, err error) {
	detail := newErrorDetail(id, err, time.Now())
	r.cfg.Log.WithError(err).WithField("request_id", id).WithField("kind", detail.Kind).Info("request refused")
	if detail.RetryAfterSeconds > 0 {
		ctx.Header("Retry-After", strconv.Itoa(detail.RetryAfterSeconds))
	}
	ctx.Header(encoder.HeaderRequestID, id)
	ctx.Header(encoder.HeaderNotRun, strconv.FormatBool(detail.NotRun))
	ctx.StatusCode(classifier.AnswerOf(detail.Kind).Status)
	_ = ctx.JSON(errorBody{Error: detail})
}

// failStream ends a begun stream with an explicit error event.
func (r *Receiver) failStream(sink *streamSink, id string, err error) {
	detail := newErrorDetail(id, err, time.Now())
	r.cfg.Log.WithError(err).WithField("request_id", id).WithField("kind", detail.Kind).Warn("stream broken")
	data, err := json.Marshal(errorBody{Error: detail})
	if err != nil {
		return
	}
	_ = sink.out.write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", data))
}
