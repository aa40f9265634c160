package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/operating/reserver"
	"gentianstep.example/gentianstep/internal/routing/matcher"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// maxBufferedBytes is the size up to which a response is buffered before any of
// it is sent to the client. Longer ones are sent as they arrive.
const maxBufferedBytes = 1 << 20

// maxResponseBytes bounds a response that is not a stream. Upstreams in trouble may send
// bytes without an end.
const maxResponseBytes = 16 << 20

// errResponseTooLarge is returned for a response of more than maxResponseBytes.
var errResponseTooLarge = errors.New("response exceeds the size limit")

// checkEnd returns an error if a response that has ended is not known to be complete.
func (x *exchange) checkEnd(ctx context.Context, answer *caller.Response) error {
	if err := answer.CheckBody(); err != nil {
		return err
	}
	u := x.choice.Upstream
	if answer.Framed || !x.isStaying(u) {
		return nil
	}
	return x.cfg.Caller.CheckEnd(ctx, u.Address, answer)
}

// isStream reports whether a response is a series of events. Those without a body are not.
func (x *exchange) isStream(answer *caller.Response) bool {
	hasBody := x.r.Method != http.MethodHead && answer.Status != http.StatusNoContent
	return hasBody && x.route.Kind == matcher.Stream && answer.Status < http.StatusMultipleChoices
}

// sendResponse sends a response that is not a stream to the client. It is buffered up to
// maxBufferedBytes, or until memory is short, so that a response that breaks off can be
// replaced by that of another attempt.
func (x *exchange) sendResponse(ctx context.Context, answer *caller.Response) error {
	buffer := x.cfg.Memory.OpenBuffer()
	defer buffer.Release()
	body, err := buffer.ReadAll(answer, -1, maxBufferedBytes)
	if errors.Is(err, reserver.ErrFull) || errors.Is(err, reserver.ErrNoMemory) {
		x.streamBody(ctx, answer, body, buffer)
		return nil
	}
	if err == nil {
		err = x.checkEnd(ctx, answer)
	}
	if err != nil {
		answer.Discard()
		return err
	}
	x.recordAnswer(answer)
	// Finish closes the upstream connection if the body has not ended. It does not
	// see bytes that follow the end.
	trailingErr := answer.Finish()
	x.releaseSentBody(answer)
	err = x.response.sendWhole(answer.Status, body, x.r.Method == http.MethodHead, x.copyHeader(answer))
	x.recordOutcome(answer.Status, outcomeAnswered, errors.Join(trailingErr, err))
	return nil
}

// copyHeader returns a function that sets the header of an upstream's response.
func (x *exchange) copyHeader(answer *caller.Response) func(h http.Header) {
	return func(h http.Header) { x.cfg.Dialect.CopyHeader(h, answer.Header) }
}

// streamBody sends a response to the client as it arrives, after the part that
// was already read into buffer.
func (x *exchange) streamBody(ctx context.Context, answer *caller.Response, start []byte, buffer *reserver.Reservation) {
	x.releaseSentBody(answer)
	if err := x.copyBody(ctx, answer, start, buffer); err != nil {
		answer.Discard()
		x.recordOutcome(answer.Status, string(classifier.StreamBroken), err)
		return
	}
	x.recordAnswer(answer)
	err := answer.Finish()
	x.response.complete()
	x.recordOutcome(answer.Status, outcomeAnswered, err)
}

// copyBody sends a body whose start was read to the client until its end.
func (x *exchange) copyBody(ctx context.Context, answer *caller.Response, start []byte, buffer *reserver.Reservation) error {
	if err := x.response.begin(answer.Status, x.copyHeader(answer)); err != nil {
		return err
	}
	if _, err := x.response.Write(start); err != nil {
		return err
	}
	limit := int64(maxResponseBytes - len(start))
	buffer.Release()
	n, err := io.Copy(x.response, io.LimitReader(answer, limit))
	switch {
	case err != nil:
		return err
	case n == limit:
		return errResponseTooLarge
	}
	return x.checkEnd(ctx, answer)
}
