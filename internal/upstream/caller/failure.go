package caller

import (
	"errors"
	"fmt"
)

// Causes of a Failure that callers of this package handle separately.
var (
	// ErrSilent reports a connection on which no byte arrived in time.
	ErrSilent = errors.New("no data received before the deadline")
	// ErrResponseMismatch reports a response that belongs to another request.
	ErrResponseMismatch = errors.New("response belongs to another request")
)

// errProtocolSwitch reports a response of status 101. Reads of what follows it would
// not end with the call, and no call requests it.
var errProtocolSwitch = errors.New("upstream switches to another protocol")

// Failure is a failed call to an upstream. Only errors of the call itself have
// this type.
type Failure struct {
	Upstream string
	// Status is the HTTP status of the upstream's response, 0 if there was none.
	Status int
	// NotRun is true if no byte of the request was sent, or if the upstream
	// stated that it rejected the request without executing it.
	NotRun bool
	// Leaving is true if the upstream rejected the request because it is leaving
	// service or because another instance serves at its address.
	Leaving bool
	// Sent is true if a byte of the request may have been sent.
	Sent bool
	// Reused is true if the connection has carried an earlier request.
	Reused bool
	Err    error
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Status != 0 {
		return fmt.Sprintf("upstream %s: status %d", f.Upstream, f.Status)
	}
	return fmt.Sprintf("upstream %s: %v", f.Upstream, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }
