package caller

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// exchange tracks the connection that carries one call.
type exchange struct {
	// ctx is done once the call was abandoned or has ended.
	ctx context.Context
	// onReuse is called when the call is sent on a reused connection.
	onReuse func()
	// onConnection, if set, is called before the call is sent on a connection.
	onConnection func()
	// admit reports whether the call may be sent; nil admits it.
	admit func() bool

	// cancelDial ends the wait for a connection.
	cancelDial context.CancelFunc

	mu        sync.Mutex
	conn      *connection
	cancelled bool
	sent      bool
	reused    bool
	// written is true once the request has been written completely.
	written bool
}

// requestContext returns the context of the request, which carries the values of ctx but
// does not end with it: the transport closes the connection of a request whose context
// ends, also if it carries that of another call by then. The end of ctx closes it only
// while it carries this call. The returned function releases the context.
func (e *exchange) requestContext() (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(e.ctx))
	e.cancelDial = cancel
	stop := context.AfterFunc(e.ctx, e.cancel)
	return ctx, func() { stop() }
}

// cancel abandons the call.
func (e *exchange) cancel() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled = true
	if e.conn == nil {
		e.cancelDial()
		return
	}
	e.abortLocked()
}

func (e *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: e.gotConn, PutIdleConn: e.putIdleConn, WroteRequest: e.wroteRequest}
}

func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*connection)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.onConnection != nil {
		e.onConnection()
	}
	if e.conn != nil {
		// The transport replaces the connection; the previous one must send no more.
		sent, _ := e.conn.abort(e)
		e.sent = sent || e.sent
	}
	e.conn = conn
	e.reused = conn.beginRequest(e)
	if e.reused && e.onReuse != nil {
		e.onReuse()
	}
	if e.cancelled {
		e.abortLocked()
	}
}

// wroteRequest is called when the transport has written the request or failed to.
func (e *exchange) wroteRequest(info httptrace.WroteRequestInfo) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.written = info.Err == nil
}

func (e *exchange) wasWritten() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.written
}

// putIdleConn is called when the transport has taken the connection back.
func (e *exchange) putIdleConn(err error) {
	if err == nil {
		e.end()
	}
}

// abort closes the connection and reports whether a byte of the call may have
// been sent.
func (e *exchange) abort() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abortLocked()
	return e.sent
}

// abortLocked closes the connection and ends the request if the connection carries it. The
// caller must hold e.mu.
func (e *exchange) abortLocked() {
	if e.conn == nil {
		return
	}
	sent, closed := e.conn.abort(e)
	e.sent = sent || e.sent
	if closed {
		e.cancelDial() // the transport must not look for another connection
	}
}

// end records that the response was read to its end.
func (e *exchange) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil {
		e.conn.endRequest(e)
	}
}

func (e *exchange) wasReused() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reused
}
