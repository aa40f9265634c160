package caller

import (
	"net/http/httptrace"
	"sync"
)

// exchange follows one call down to the connection that carries it.
type exchange struct {
	// onReuse is called when the call goes out on a used connection.
	onReuse func()

	mu     sync.Mutex
	conn   *connection
	sent   bool
	reused bool
}

func (e *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: e.gotConn}
}

func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*connection)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil {
		e.sent = e.conn.seal() || e.sent
	}
	e.conn = conn
	e.reused = conn.begin()
	if e.reused && e.onReuse != nil {
		e.onReuse()
	}
}

// end seals the connection and reports whether a byte of the call may have left.
func (e *exchange) end() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil {
		e.sent = e.conn.seal() || e.sent
	}
	return e.sent
}

func (e *exchange) wasReused() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reused
}
