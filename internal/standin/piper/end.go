package piper

import (
	"net"
	"sync/atomic"
)

// end is one side of a connection that can go silent.
type end struct {
	net.Conn
	silent atomic.Bool
}

func (e *end) silence() { e.silent.Store(true) }

// Write drops the data of a silent connection as if it had been sent.
func (e *end) Write(data []byte) (int, error) {
	if e.silent.Load() {
		return len(data), nil
	}
	return e.Conn.Write(data)
}
