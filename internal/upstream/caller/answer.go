package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"gentianstep.example/gentianstep/internal/streaming/encoder"
)

// finishTimeout bounds the wait for the end of a body that should be over.
const finishTimeout = 250 * time.Millisecond

// errTrailing reports bytes after the end of an answer.
var errTrailing = errors.New("bytes after the end of the answer")

// Answer is the head of an upstream's answer and its body as it comes. It ends
// by one call of Finish or Discard.
type Answer struct {
	Status int
	Header http.Header
	// Reused is true where the connection had served an earlier request.
	Reused bool

	// ctx tells why a read of the body failed.
	ctx         context.Context
	cancel      context.CancelCauseFunc
	body        io.ReadCloser
	exchange    *exchange
	watchdog    *watchdog
	firstByteBy time.Time
	idleTimeout time.Duration
	started     bool
}

// Read implements io.Reader. It gives ErrSilent where no byte comes in time.
func (a *Answer) Read(data []byte) (int, error) {
	deadline := time.Now().Add(a.idleTimeout)
	if !a.started {
		deadline = a.firstByteBy
	}
	a.watchdog.expect(deadline)
	n, err := a.body.Read(data)
	a.watchdog.rest()
	a.started = a.started || n > 0
	if err != nil && errors.Is(context.Cause(a.ctx), ErrSilent) {
		return n, ErrSilent
	}
	return n, err
}

// NotRun reports whether the upstream said that it refused this request before
// running it. On a used connection the refusal must name the request.
func (a *Answer) NotRun() bool {
	if a.Status < http.StatusBadRequest || a.Header.Get(encoder.HeaderNotRun) != "true" {
		return false
	}
	return !a.Reused || a.Header.Get(encoder.HeaderRequestID) != ""
}

// Leaving reports whether the upstream refused because it is leaving.
func (a *Answer) Leaving() bool {
	return a.NotRun() && a.Header.Get(encoder.HeaderLeaving) == "true"
}

// Finish ends an answer that was read to its end. Its connection is kept for
// later calls only if nothing else came on it.
func (a *Answer) Finish() error {
	a.watchdog.expect(time.Now().Add(finishTimeout))
	n, err := a.body.Read(make([]byte, 1))
	a.watchdog.rest()
	if n == 0 && errors.Is(err, io.EOF) {
		_ = a.body.Close()
		a.cancel(nil)
		return nil
	}
	a.Discard()
	return errTrailing
}

// Discard ends an answer and closes its connection.
func (a *Answer) Discard() {
	a.exchange.end()
	a.watchdog.rest()
	a.cancel(nil)
	_ = a.body.Close()
}
