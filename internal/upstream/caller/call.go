package caller

import (
	"net/http"
	"net/netip"
	"time"
)

// Head is the head of a request in another dialect than the project's own.
type Head struct {
	Host   string
	Header http.Header
	// Check reports an answer that does not belong to the request.
	Check func(status int, header http.Header) error
}

// Target is the upstream that a call goes to.
type Target struct {
	Name    string
	Address netip.AddrPort
}

// Call is one exchange with an upstream.
type Call struct {
	RequestID string
	// Attempt tells the exchanges of one request apart.
	Attempt int
	Method  string
	// Path is the request target, which goes out byte for byte.
	Path           string
	Organisation   string
	WeightsVersion string
	Priority       string
	IdempotencyKey string
	ContentType    string
	Body           []byte
	// Head, where set, stands in for the headers of the project's protocol.
	Head *Head
	// ImportBlocks is the number of leading blocks that an engine is asked to
	// import rather than compute; 0 asks for nothing.
	ImportBlocks int
	// Export asks an engine to export the blocks of the prompt.
	Export bool
	// NewConnection keeps the call off pooled connections.
	NewConnection bool
	// Identified requires an answer of status 200 to name the request and the
	// attempt. Names that an answer gives have to be right in any case.
	Identified bool
	// FirstByteBy is the deadline of the first byte of the answer.
	FirstByteBy time.Time
	// IdleTimeout bounds the silence within an answer, and the wait for the
	// head of an answer on a connection that was used before.
	IdleTimeout time.Duration
}
