package caller

import (
	"net/netip"
	"time"
)

// Target is the upstream that a call goes to.
type Target struct {
	Name    string
	Address netip.AddrPort
}

// Call is one exchange with an upstream.
type Call struct {
	RequestID string
	// Attempt tells the exchanges of one request apart.
	Attempt        int
	Method         string
	Path           string
	Organisation   string
	WeightsVersion string
	Priority       string
	IdempotencyKey string
	ContentType    string
	Body           []byte
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
