package caller

import (
	"net/netip"
)

// Target is the upstream that a call goes to.
type Target struct {
	Name    string
	Address netip.AddrPort
}

// Call is one attempt at a request.
type Call struct {
	RequestID      string
	Attempt        int
	Method         string
	Path           string
	Organisation   string
	WeightsVersion string
	Priority       string
	IdempotencyKey string
	ContentType    string
	Body           []byte
}
