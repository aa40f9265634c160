package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"gentianstep.example/gentianstep/internal/streaming/encoder"
)

// finishTimeout bounds the wait for the end of a body that has been read in full.
const finishTimeout = 250 * time.Millisecond

// errTrailingData reports data after the end of a response.
var errTrailingData = errors.New("unexpected data after the end of the response")

// Response is the status and the header of an upstream's response, and its body
// as it arrives. It must be released by one call of Finish or Discard.
type Response struct {
	Status int
	Header http.Header
	// Reused is true if the connection has carried an earlier request.
	Reused bool
	// Framed is true if the response states where its body ends. Any other ends with its
	// connection, also if the upstream crashes.
	Framed bool

	// countBroken counts the response as broken; an empty reason stands for none.
	countBroken func(reason BrokenReason)
	// ctx holds the cause of a failed read of the body.
	ctx               context.Context
	cancel            context.CancelCauseFunc
	stopCancel        func()
	body              io.ReadCloser
	requestBody       *bytes.Reader
	exchange          *exchange
	watchdog          *watchdog
	firstByteDeadline time.Time
	idleTimeout       time.Duration
	started           bool
	// probe is nil if the response is framed.
	probe *probe
	// lastByteAt is when the latest byte of the body was read.
	lastByteAt time.Time
}

// Read implements io.Reader. It returns ErrSilent if no byte arrives in time.
func (a *Response) Read(data []byte) (int, error) {
	deadline := time.Now().Add(a.idleTimeout)
	if !a.started {
		deadline = a.firstByteDeadline
	}
	a.watchdog.setDeadline(deadline)
	n, err := a.body.Read(data)
	a.watchdog.stop()
	if !a.Framed && !a.started && beginsWithFields(data[:n]) {
		a.countBroken(BrokenHead)
		return 0, errHeadInBody
	}
	a.started = a.started || n > 0
	if n > 0 {
		a.lastByteAt = time.Now()
	}
	if cause := context.Cause(a.ctx); err != nil && !errors.Is(err, io.EOF) && cause != nil {
		return n, cause
	}
	a.countBroken(brokenReason(err))
	return n, err
}

// DropRequestBody drops the reference of the transport to the body of the request, which it
// keeps until the response has ended, and reports whether it could. An upstream may respond
// before it has read the whole body; the transport still reads it then.
func (a *Response) DropRequestBody() bool {
	if !a.exchange.wasWritten() {
		return false
	}
	a.requestBody.Reset(nil)
	return true
}

// releaseProbe closes the idle connection to the upstream if there is one.
func (a *Response) releaseProbe() {
	if a.probe != nil {
		a.probe.release()
	}
}

// NotRun reports whether the upstream rejected this request without executing it.
func (a *Response) NotRun() bool {
	return a.Status >= http.StatusBadRequest && a.Header.Get(encoder.HeaderNotRun) == "true"
}

// Leaving reports whether the upstream rejected the request because it is leaving
// service.
func (a *Response) Leaving() bool {
	return a.NotRun() && a.Header.Get(encoder.HeaderLeaving) == "true"
}

// Finish releases a response whose body was read to its end. The connection is
// returned to the pool unless more data arrived on it.
func (a *Response) Finish() error {
	a.releaseProbe()
	a.watchdog.setDeadline(time.Now().Add(finishTimeout))
	n, err := a.body.Read(make([]byte, 1))
	a.watchdog.stop()
	if n == 0 && errors.Is(err, io.EOF) {
		a.exchange.end()
		a.stopCancel()
		_ = a.body.Close()
		a.cancel(nil)
		return nil
	}
	a.Discard()
	return errTrailingData
}

// Discard releases a response and closes its connection, unless the response has ended
// and the transport has taken the connection back.
func (a *Response) Discard() {
	a.releaseProbe()
	a.exchange.abort()
	a.stopCancel()
	a.watchdog.stop()
	a.cancel(nil)
	_ = a.body.Close()
}
