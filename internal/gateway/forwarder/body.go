package forwarder

import (
	"errors"
	"net/http"
	"os"
	"time"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/operating/reserver"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// readBody buffers the whole body, since a request may be sent more than once. Its memory is
// reserved; if there is none, the request is refused.
func (x *exchange) readBody() *classifier.Error {
	limit := x.configuration.Limits.BodyBytes
	if x.r.ContentLength > limit {
		return classifier.New(classifier.TooLarge, "the body is over %d bytes", limit)
	}
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	if err := x.response.setReadDeadline(x.deadline); err != nil {
		return classifier.Wrap(classifier.Internal, err, "the connection takes no deadline")
	}
	keepReadDeadline := x.endReadAtShutdown()
	x.reservation = x.cfg.Memory.OpenRequest(x.endRead)
	x.reservation.Join(x.r.Context())
	body, err := x.reservation.ReadAll(x.response.limitBody(x.r.Body, limit), x.r.ContentLength, limit+1)
	if err == nil {
		err = x.reservation.Complete()
	}
	if err != nil {
		x.reservation.Release()
	}
	if !keepReadDeadline() {
		return x.shutdown.Load().refusal(time.Now())
	}
	if err != nil {
		// Keeps the read deadline: net/http reads the rest of the body before
		// it writes the response.
		x.response.closeAfter()
		return bodyError(err, limit)
	}
	if err := x.response.setReadDeadline(time.Time{}); err != nil {
		return classifier.Wrap(classifier.Internal, err, "the connection takes no deadline")
	}
	x.body = body
	return nil
}

// endRead ends reading the request.
func (x *exchange) endRead() { _ = x.response.setReadDeadline(readDeadlinePassed) } // fails only on a closed connection

// bodyError classifies an error of reading the body.
func bodyError(err error, limit int64) *classifier.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return classifier.New(classifier.TooLarge, "the body is over %d bytes", limit)
	case errors.Is(err, reserver.ErrNoMemory), errors.Is(err, reserver.ErrEvicted):
		return classifier.Wrap(classifier.Overloaded, err, "memory is short")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return classifier.Wrap(classifier.CallerTooSlow, err, "the body did not come in time")
	}
	return classifier.Wrap(classifier.InvalidRequest, err, "the body is not valid")
}

// releaseBody returns the memory of the body, which no further attempt needs.
func (x *exchange) releaseBody() {
	x.body, x.bodyReleased = nil, true
	x.reservation.Release()
}

// releaseSentBody releases the body once the response has begun, unless the stream may still
// be resumed by another attempt or the upstream has not read the body yet.
func (x *exchange) releaseSentBody(answer *caller.Response) {
	if x.bodyReleased || x.canRetryAfterRun() && !x.sequence.unresumable && x.isStream(answer) {
		return
	}
	if answer.DropRequestBody() {
		x.releaseBody()
	}
}
