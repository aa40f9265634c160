package piper

import (
	"net"
	"net/http"
	"time"
)

// neverCut is the value of Host.cutAfter for connections without a limit.
const neverCut = -1

// Host is the server at an address of a Network. It implements net.Listener.
type Host struct {
	// incoming holds the server sides of connections that are not accepted yet.
	incoming chan net.Conn
	server   *http.Server
	// clientConns are the client sides of all connections.
	clientConns []*clientConn
	// serverConns are the server sides of all connections since the last crash.
	serverConns []net.Conn
	// refuses makes the server refuse new connections.
	refuses bool
	// silent makes new connections silent.
	silent bool
	// cutAfter is the write limit of new connections, or neverCut.
	cutAfter int
	// delay is the time that writes on new connections take.
	delay time.Duration
}

// serve accepts connections until Network.Stop.
func (h *Host) serve() { _ = h.server.Serve(h) }

// Handle replaces the handler for subsequent requests, including those on open
// connections.
func (h *Host) Handle(handler http.Handler) { h.server.Handler = handler }

// Accept implements net.Listener.
func (h *Host) Accept() (net.Conn, error) {
	conn, ok := <-h.incoming
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Close implements net.Listener. It does nothing, since Network.Stop ends Accept.
func (h *Host) Close() error { return nil }

// Addr implements net.Listener.
func (h *Host) Addr() net.Addr { return &net.TCPAddr{} }
