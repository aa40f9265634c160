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

	mu     sync.Mutex
	conn   *connection
	sent   bool
	reused bool
}

func (e *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: e.gotConn, PutIdleConn: e.putIdleConn}
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
		e.sent = e.conn.abort(e) || e.sent
	}
	e.conn = conn
	e.reused = conn.beginRequest(e)
	if e.reused && e.onReuse != nil {
		e.onReuse()
	}
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
	if e.conn != nil {
		e.sent = e.conn.abort(e) || e.sent
	}
	return e.sent
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
