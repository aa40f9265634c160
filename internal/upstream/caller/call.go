package caller

import (
	"net/http"
	"net/netip"
	"time"
)

// RequestHead is the host and the header of a request in a protocol other than
// the project's own.
type RequestHead struct {
	Host   string
	Header http.Header
	// Refresh, if set, updates the header once a connection is open.
	Refresh func(h http.Header)
	// CheckResponse returns an error if a response does not belong to the request. reused
	// is true if the connection has carried an earlier one; see CheckEcho.
	CheckResponse func(status int, header http.Header, reused bool) error
}

// Target is the upstream that a call is sent to.
type Target struct {
	Name    string
	Address netip.AddrPort
}

// Call is one exchange with an upstream.
type Call struct {
	RequestID string
	// Attempt numbers the exchanges of one request.
	Attempt int
	Method  string
	// Path is the request target. It is sent unmodified, byte for byte.
	Path           string
	Organisation   string
	WeightsVersion string
	Priority       string
	IdempotencyKey string
	ContentType    string
	Body           []byte
	// Head, if set, replaces the headers of the project's protocol.
	Head *RequestHead
	// Admit, if set, is called right before the first byte of the call is sent on
	// a connection. An error prevents the sending and becomes that of the call.
	Admit func() error
	// Running is true if the call is about work that the upstream runs already.
	Running bool
	// ImportBlocks is the number of leading blocks that an engine should import
	// instead of computing them; 0 requests no import.
	ImportBlocks int
	// Export requests an engine to export the blocks of the prompt.
	Export bool
	// NewConnection sends the call on a new connection, outside the pool.
	NewConnection bool
	// RequireEcho requires a response of status 200 to echo the request ID and
	// the attempt. On a reused connection every response to a call with an ID must do so.
	// Values that a response does echo must match in any case.
	RequireEcho bool
	// FirstByteDeadline is the deadline for the first byte of the response.
	FirstByteDeadline time.Time
	// IdleTimeout bounds the time without data within a response and, on a reused
	// connection, the wait for the response header.
	IdleTimeout time.Duration
}
