package caller

import (
	"errors"
	"fmt"
)

// Causes of failures that the rest of the system tells apart.
var (
	// ErrSilent reports a connection that gave no byte in time.
	ErrSilent = errors.New("connection is silent")
	// ErrCrossed reports an answer that belongs to another request.
	ErrCrossed = errors.New("answer belongs to another request")
)

// Failure is a failed contact with an upstream. Only failures that the contact
// itself produced have this type.
type Failure struct {
	Upstream string
	// Status is the HTTP status of the upstream's answer, 0 where it gave none.
	Status int
	// NotRun is true where no byte of the request was sent, or the upstream
	// said that it refused the request before running it.
	NotRun bool
	// Leaving is true where the upstream refused because it is leaving.
	Leaving bool
	// Sent is true where a byte of the request may have left.
	Sent bool
	// Reused is true where the connection had served an earlier request.
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
