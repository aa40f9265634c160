package forwarder

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"gentianstep.example/gentianstep/internal/failure/classifier"
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

// sendResponse sends a response that is not a stream to the client.
func (x *exchange) sendResponse(answer *caller.Response) error {
	body, err := io.ReadAll(io.LimitReader(answer, maxBufferedBytes))
	if err != nil {
		answer.Discard()
		return err
	}
	if len(body) == maxBufferedBytes {
		return x.streamBody(answer, body)
	}
	x.recordAnswer(answer)
	// Finish closes the upstream connection if the body has not ended. It does not
	// see bytes that follow the end.
	trailingErr := answer.Finish()
	x.commitHeader(answer)
	if x.r.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.w.WriteHeader(answer.Status)
	_, err = x.w.Write(body)
	x.recordOutcome(answer.Status, outcomeAnswered, clientComplete, errors.Join(trailingErr, err))
	return nil
}

// commitHeader sets the response header for the client. From here on the
// request cannot be answered with an error.
func (x *exchange) commitHeader(answer *caller.Response) {
	x.cfg.Dialect.CopyHeader(x.w.Header(), answer.Header)
	if !x.committed {
		x.clientStatus = answer.Status
	}
	x.committed = true
}

// streamBody sends a response to the client as it arrives, after the part that
// was already read.
func (x *exchange) streamBody(answer *caller.Response, start []byte) error {
	x.commitHeader(answer)
	x.w.WriteHeader(answer.Status)
	_, err := x.w.Write(start)
	if err == nil {
		var n int64
		limit := int64(maxResponseBytes - len(start))
		if n, err = io.Copy(x.w, io.LimitReader(answer, limit)); err == nil && n == limit {
			err = errResponseTooLarge
		}
	}
	if err != nil {
		answer.Discard()
		x.recordOutcome(answer.Status, string(classifier.StreamBroken), clientBrokenOff, err)
		panic(http.ErrAbortHandler)
	}
	x.recordAnswer(answer)
	err = answer.Finish()
	x.recordOutcome(answer.Status, outcomeAnswered, clientComplete, err)
	return nil
}
