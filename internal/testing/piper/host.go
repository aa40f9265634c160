package piper

import (
	"net"
	"net/http"
)

// never keeps connections from being cut.
const never = -1

// Host is one address with its server. It implements net.Listener.
type Host struct {
	incoming chan net.Conn
	server   *http.Server
	links    []*link
	frozen   bool
	cutAfter int
}

// run serves until the network stops the host.
func (h *Host) run() { _ = h.server.Serve(h) }

// Handle replaces the handler of later requests, also on open connections.
func (h *Host) Handle(handler http.Handler) { h.server.Handler = handler }

// Accept implements net.Listener.
func (h *Host) Accept() (net.Conn, error) {
	conn, ok := <-h.incoming
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Close implements net.Listener.
func (h *Host) Close() error { return nil }

// Addr implements net.Listener.
func (h *Host) Addr() net.Addr { return &net.TCPAddr{} }
